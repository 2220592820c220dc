import { getProofTag } from "./get_proof_tag.ts";
import type { EvaluatedProofRow } from "./evaluated_proof_row.ts";
import type { ProofRow } from "./proof_row.ts";
import { ProofVerdict } from "./proof_verdict.ts";
import type { TestReport } from "./test_report.ts";

/** Returns each row with the tests that ran and whose title contains its tag, and with their verdict. */
export function evaluateProofRows(
  rows: readonly ProofRow[],
  report: TestReport,
): readonly EvaluatedProofRow[] {
  return rows.map((row) => {
    const hasTag = (title: string) => title.includes(getProofTag(row));
    const passed = report.passed.filter(hasTag);
    const failed = report.failed.filter(hasTag);
    return { ...row, passed, failed, verdict: getVerdict(passed, failed) };
  });
}

function getVerdict(
  passed: readonly string[],
  failed: readonly string[],
): ProofVerdict {
  if (failed.length > 0) {
    return ProofVerdict.Red;
  }
  return passed.length > 0 ? ProofVerdict.Proved : ProofVerdict.NotProved;
}
