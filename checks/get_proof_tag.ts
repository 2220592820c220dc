import type { ProofRow } from "./proof_row.ts";

/** Returns the tag of the row. A test belongs to the row if its title contains the tag. */
export function getProofTag(row: ProofRow): string {
  return `[point ${row.point}: ${row.failure}]`;
}
