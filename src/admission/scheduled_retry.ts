import type { AdmissionState } from "./admission_state.ts";

/** When a refused caller is asked to come back. */
export interface ScheduledRetry {
  readonly state: AdmissionState;
  /** In milliseconds since the Unix epoch. */
  readonly retryAt: number;
}
