import type { AdmissionState } from "./admission_state.ts";

/** The retry instant for a refused call, with the updated state. */
export interface ScheduledRetry {
  readonly state: AdmissionState;
  /** In milliseconds since the Unix epoch. */
  readonly retryAt: number;
}
