import type { MeasureContext } from "../measure_context.ts";
import { runCases } from "../run_cases.ts";
import type { FleetCase } from "./fleet_case.ts";
import type { FleetRun } from "./fleet_run.ts";
import { getNodeCount } from "./get_node_count.ts";
import { runFleet } from "./run_fleet.ts";

const shortSettleMilliseconds = 500;
const settleMilliseconds = 3000;
/** A change of the nodes' records, such as the first version in force, needs up to this long per node of the fleet to propagate. */
const settleMillisecondsPerNode = 500;

/** Runs every case and its baseline alternately, `context.repeats` times. */
export function runFleetCases(
  cases: readonly FleetCase[],
  context: MeasureContext,
): Promise<readonly FleetRun[]> {
  const count = context.repeats;
  const caseRuns = Array.from(
    { length: count },
    (_, repeat) =>
      cases.flatMap((fleetCase) => [
        { fleetCase, repeat, isBaseline: false },
        { fleetCase, repeat, isBaseline: true },
      ]),
  ).flat();
  return runCases(caseRuns, context, ({ fleetCase, repeat, isBaseline }) => {
    context.reportProgress(
      `${fleetCase.label}${isBaseline ? " as baseline" : ""}, repeat ${
        repeat + 1
      } of ${count}`,
    );
    return runFleet(fleetCase, {
      repeat,
      isBaseline,
      settleMilliseconds: context.quick || isBaseline
        ? shortSettleMilliseconds
        : settleMilliseconds +
          settleMillisecondsPerNode * getNodeCount(fleetCase.plan),
      restMilliseconds: context.quick ? 1500 : 8000,
      stormMilliseconds: context.quick ? 1500 : 8000,
      changes: context.quick ? 1 : 4,
    });
  });
}
