import type { RandomSource } from "../runtime/random_source.ts";
import type { AdmissionPolicy } from "./admission_policy.ts";

/** The inputs of an admission step besides its state and the event. */
export interface AdmissionContext {
  /** The current instant, in milliseconds since the Unix epoch. */
  readonly now: number;
  readonly random: RandomSource;
  readonly policy: AdmissionPolicy;
}
