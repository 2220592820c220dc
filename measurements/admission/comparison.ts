import type { AdmissionPolicy } from "../../src/admission/admission_policy.ts";
import type { RunOptions } from "./run_options.ts";

/** A set of admission policies that run under the same scenarios. */
export interface Comparison {
  readonly name: string;
  readonly variants: readonly {
    readonly name: string;
    readonly policy: Partial<AdmissionPolicy>;
  }[];
  readonly scenarios: readonly {
    readonly name: string;
    readonly options: Omit<RunOptions, "seed" | "policy">;
  }[];
}
