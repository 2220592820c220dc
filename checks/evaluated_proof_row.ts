import type { ProofRow } from "./proof_row.ts";
import type { ProofVerdict } from "./proof_verdict.ts";

/** A row with its verdict and the titles of the tests that carry its tag. */
export interface EvaluatedProofRow extends ProofRow {
  readonly verdict: ProofVerdict;
  readonly passed: readonly string[];
  readonly failed: readonly string[];
}
