import type { BlackBoxObservations } from "./black_box_observations.ts";
import { countFalseRefusals } from "./count_false_refusals.ts";
import { countRanTwice } from "./count_ran_twice.ts";
import type { Deployment } from "./deployment.ts";
import type { RunningCaller } from "./running_caller.ts";

/** Stops the caller and resolves with what it and the backend servers observed. */
export async function collectObservations(
  deployment: Deployment,
  caller: RunningCaller,
): Promise<BlackBoxObservations> {
  caller.stop();
  const report = await caller.report;
  const runs = await Promise.all(deployment.vms.map(deployment.getRuns));
  return {
    report,
    runs,
    wrong: report.wrong,
    ranTwice: countRanTwice(runs),
    falseRefusals: countFalseRefusals(runs, report.neverRunTokens),
  };
}
