import type { PauseDetectorState } from "./pause_detector_state.ts";
import type { ProcessPause } from "./process_pause.ts";

/** What one look at the clock comes to. */
export interface PauseDetectorStep {
  readonly state: PauseDetectorState;
  /** Undefined where the process was not paused. */
  readonly pause: ProcessPause | undefined;
}
