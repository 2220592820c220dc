import { getProofTag } from "./get_proof_tag.ts";
import type { ProofRow } from "./proof_row.ts";

const tagPattern = /\[point \d+: [^\]]*\]/g;

/** Returns the proof tags in the titles that match no row. */
export function findStrayTags(
  rows: readonly ProofRow[],
  titles: readonly string[],
): readonly string[] {
  const known = rows.map(getProofTag);
  return titles
    .flatMap((title) => title.match(tagPattern) ?? [])
    .filter((tag) => !known.includes(tag));
}
