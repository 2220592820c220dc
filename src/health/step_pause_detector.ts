import type { PauseDetectorState } from "./pause_detector_state.ts";
import type { PauseDetectorStep } from "./pause_detector_step.ts";

/**
 * Evaluates one check of the clock, at `now` in milliseconds since the Unix
 * epoch. The process was paused if the check is late by more than the threshold.
 * A clock that was set back is not reported.
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
