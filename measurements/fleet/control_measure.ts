import { boloFestaSulPlan } from "../../stand_ins/deployment/bolo_festa_sul_plan.ts";
import { koloretePlan } from "../../stand_ins/deployment/kolorete_plan.ts";
import type { MeasureContext } from "../measure_context.ts";
import type { MeasureResult } from "../measure_result.ts";
import type { Measure } from "../measure.ts";
import { checkControlTargets } from "./check_control_targets.ts";
import { createFleetTables } from "./create_fleet_tables.ts";
import { fleetNotes } from "./fleet_notes.ts";
import { runFleetCases } from "./run_fleet_cases.ts";

const cases = [
  { label: "Bolo Festa Sul", plan: boloFestaSulPlan },
  { label: "Kolorete", plan: koloretePlan },
];

/** Measures control traffic and platform reads on models of the current deployments. */
export const controlMeasure: Measure = {
  name: "control",
  title: "Control traffic on the deployments of today",
  question:
    "How many bytes and messages does a node spend on control at rest, for a change and when three quarters of the nodes restart at once, and how many reads does the platform get?",
  baseline:
    "Every node watches the platform itself and gets whole documents; run on the same stand-ins, in turn with the nodes.",
  spread: "Median of the repeats and in brackets the lowest and the highest.",
  run,
};

async function run(context: MeasureContext): Promise<MeasureResult> {
  const runs = await runFleetCases(
    context.quick ? cases.slice(0, 1) : cases,
    context,
  );
  return {
    tables: createFleetTables(runs, { withLine: false }),
    charts: [],
    targets: checkControlTargets(runs),
    notes: fleetNotes,
    data: { runs },
  };
}
