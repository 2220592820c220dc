import type { PauseDetectorState } from "./pause_detector_state.ts";
import type { ProcessPause } from "./process_pause.ts";

/** The result of one check of the clock. */
export interface PauseDetectorStep {
  readonly state: PauseDetectorState;
  /** Undefined if the process was not paused. */
  readonly pause: ProcessPause | undefined;
}
