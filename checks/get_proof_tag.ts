import type { ProofRow } from "./proof_row.ts";

/** Returns the tag that assigns a test to the row when the title of the test contains it. */
export function getProofTag(row: ProofRow): string {
  return `[point ${row.point}: ${row.failure}]`;
}
