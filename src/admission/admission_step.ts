import type { AdmissionEffect } from "./admission_effect.ts";
import type { AdmissionState } from "./admission_state.ts";

/** The result of one admission step. */
export interface AdmissionStep {
  readonly state: AdmissionState;
  /** In the order in which the runtime must execute them. */
  readonly effects: readonly AdmissionEffect[];
}
