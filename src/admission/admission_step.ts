import type { AdmissionEffect } from "./admission_effect.ts";
import type { AdmissionState } from "./admission_state.ts";

/** What one step of the admission comes to. */
export interface AdmissionStep {
  readonly state: AdmissionState;
  /** In the order in which they are to be carried out. */
  readonly effects: readonly AdmissionEffect[];
}
