import type { ExecutionContext } from "ava";
import type { BlackBoxFacts } from "../../stand_ins/deployment/black_box_facts.ts";

/** Asserts what must hold in every run, and that the run had calls that were answered and calls that were abandoned. */
export function assertSafe(
  assert: ExecutionContext,
  facts: BlackBoxFacts,
): void {
  const { report } = facts;
  assert.log(JSON.stringify({ ...report.endings, reasons: report.reasons }));
  assert.is(facts.wrong, 0, `wrong: ${JSON.stringify(report.reasons)}`);
  assert.is(facts.ranTwice, 0, "calls that ran twice");
  assert.is(facts.falseRefusals, 0, "calls that ran although refused");
  assert.true(report.whole > 0, "no call was answered whole");
  assert.true(report.abandoned > 0, "no call was abandoned");
}
