import test from "ava";
import { findStrayTags } from "./find_stray_tags.ts";
import { evaluateProofRows } from "./evaluate_proof_rows.ts";
import { parseProofRows } from "./parse_proof_rows.ts";

const rows = parseProofRows(JSON.stringify([
  { point: 8, promise: "At most once", failures: ["a", "b", "c"] },
]));

test("evaluateProofRows() derives the verdict only from tests that ran", (t) => {
  const evaluated = evaluateProofRows(rows, {
    passed: ["x › [point 8: a] one", "x › [point 8: b] two"],
    failed: ["x › [point 8: b] three"],
    complete: true,
  });
  t.deepEqual(evaluated.map((row) => row.verdict), [
    "proved",
    "red",
    "not proved",
  ]);
});

test("findStrayTags() returns the tags that match no row", (t) => {
  t.deepEqual(findStrayTags(rows, ["[point 8: a]", "[point 9: a] x"]), [
    "[point 9: a]",
  ]);
});
