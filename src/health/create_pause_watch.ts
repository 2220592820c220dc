import type { TimerHandle } from "../runtime/timer_handle.ts";
import { AuditEntryKind } from "../telemetry/audit_entry_kind.ts";
import type { PauseDetectorState } from "./pause_detector_state.ts";
import type { PauseWatch } from "./pause_watch.ts";
import type { PauseWatchOptions } from "./pause_watch_options.ts";
import { stepPauseDetector } from "./step_pause_detector.ts";

/** How many times the process looks at the clock within one threshold. */
const ticksInThreshold = 4;

/** Creates the loop that looks at the clock, records every pause in the audit trail and reports it. */
export function createPauseWatch(options: PauseWatchOptions): PauseWatch {
  const { environment, onPause, settings } = options;
  const { auditTrail, clock, timers } = environment;
  const thresholdMilliseconds = settings.timing.pauseThresholdMilliseconds;
  const tickMilliseconds = thresholdMilliseconds / ticksInThreshold;
  let state: PauseDetectorState | null = null;
  let timer: TimerHandle | null = null;

  function check(): void {
    if (state === null) return;
    const step = stepPauseDetector(state, clock.now(), {
      tickMilliseconds,
      thresholdMilliseconds,
    });
    state = step.state;
    if (step.pause === undefined) return;
    auditTrail.record({
      kind: AuditEntryKind.ProcessPaused,
      source: "self",
      fromState: `seen at ${step.pause.seenAt}`,
      toState: `resumed at ${step.pause.resumedAt}`,
      reasons: [],
    });
    onPause(step.pause);
  }

  function setTimer(): void {
    timer = timers.at(clock.now() + tickMilliseconds, () => {
      check();
      if (state !== null) setTimer();
    });
  }

  return {
    start() {
      if (state !== null) return;
      const now = clock.now();
      state = { seenAt: now, expectedAt: now + tickMilliseconds };
      setTimer();
    },
    check,
    stop() {
      state = null;
      timer?.cancel();
      timer = null;
    },
  };
}
