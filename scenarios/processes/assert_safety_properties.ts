import type { ExecutionContext } from "ava";
import type { BlackBoxObservations } from "../../stand_ins/deployment/black_box_observations.ts";

/**
 * Asserts the properties that must hold in every run, and that calls were
 * answered and abandoned in the run.
 */
export function assertSafetyProperties(
  assert: ExecutionContext,
  observations: BlackBoxObservations,
): void {
  const { report } = observations;
  assert.log(JSON.stringify({ ...report.endings, reasons: report.reasons }));
  assert.is(observations.wrong, 0, `wrong: ${JSON.stringify(report.reasons)}`);
  assert.is(observations.ranTwice, 0, "calls that ran twice");
  assert.is(observations.falseRefusals, 0, "calls that ran although refused");
  assert.true(report.whole > 0, "no call was answered completely");
  assert.true(report.abandoned > 0, "no call was abandoned");
}
