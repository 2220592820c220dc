import type { PauseDetectorState } from "./pause_detector_state.ts";
import type { PauseDetectorStep } from "./pause_detector_step.ts";

/**
 * Looks at the clock. The process was paused where it is seen later than
 * expected by more than the threshold. A clock that was set back tells nothing.
 */
export function stepPauseDetector(
  state: PauseDetectorState,
  now: number,
  options: {
    readonly tickMilliseconds: number;
    readonly thresholdMilliseconds: number;
  },
): PauseDetectorStep {
  const isPause = now - state.nextTickAt > options.thresholdMilliseconds;
  return {
    state: { lastTickAt: now, nextTickAt: now + options.tickMilliseconds },
    pause: isPause
      ? { lastTickAt: state.lastTickAt, resumedAt: now }
      : undefined,
  };
}
