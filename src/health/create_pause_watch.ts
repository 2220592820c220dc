import type { TimerHandle } from "../runtime/timer_handle.ts";
import { AuditEntryKind } from "../telemetry/audit_entry_kind.ts";
import type { PauseDetectorState } from "./pause_detector_state.ts";
import type { PauseWatch } from "./pause_watch.ts";
import type { PauseWatchOptions } from "./pause_watch_options.ts";
import { stepPauseDetector } from "./step_pause_detector.ts";

/** The number of clock checks within one pause threshold. */
const checksPerThreshold = 4;

/**
 * Creates a watch that checks the clock at intervals, records each pause of the
 * process in the audit trail and reports it to `onPause`.
 */
export function createPauseWatch(options: PauseWatchOptions): PauseWatch {
  const { environment, onPause, settings } = options;
  const { auditTrail, clock, timers } = environment;
  const thresholdMilliseconds = settings.timing.pauseThresholdMilliseconds;
  const tickMilliseconds = thresholdMilliseconds / checksPerThreshold;
  let detectorState: PauseDetectorState | null = null;
  let timer: TimerHandle | null = null;

  function check(): void {
    if (detectorState === null) return;
    const step = stepPauseDetector(detectorState, clock.now(), {
      tickMilliseconds,
      thresholdMilliseconds,
    });
    detectorState = step.state;
    if (step.pause === undefined) return;
    auditTrail.record({
      kind: AuditEntryKind.ProcessPaused,
      source: "self",
      fromState: `seen at ${step.pause.lastTickAt}`,
      toState: `resumed at ${step.pause.resumedAt}`,
      reasons: [],
    });
    onPause(step.pause);
  }

  function scheduleCheck(): void {
    timer = timers.at(clock.now() + tickMilliseconds, () => {
      check();
      if (detectorState !== null) scheduleCheck();
    });
  }

  return {
    start() {
      if (detectorState !== null) return;
      const now = clock.now();
      detectorState = { lastTickAt: now, nextTickAt: now + tickMilliseconds };
      scheduleCheck();
    },
    check,
    stop() {
      detectorState = null;
      timer?.cancel();
      timer = null;
    },
  };
}
