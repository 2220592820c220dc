import type { RandomSource } from "../runtime/random_source.ts";
import type { AdmissionPolicy } from "./admission_policy.ts";

/** What a step of the admission takes besides its state and the event. */
export interface AdmissionContext {
  /** In milliseconds since the Unix epoch. */
  readonly now: number;
  readonly random: RandomSource;
  readonly policy: AdmissionPolicy;
}
