import type { DeploymentPlan } from "../../stand_ins/deployment/deployment_plan.ts";
import { formatSpread } from "../format_spread.ts";
import type { MeasureTable } from "../measure_table.ts";
import { computeServiceShares } from "./compute_service_shares.ts";
import { getServicePhase } from "./get_service_phase.ts";
import { getSystemName } from "./get_system_name.ts";
import { ServicePhase } from "./service_phase.ts";
import type { ServiceRun } from "./service_run.ts";
import type { ServiceShares } from "./service_shares.ts";

const shareColumns: readonly {
  readonly title: string;
  readonly getValue: (share: ServiceShares) => number;
}[] = [
  { title: "whole, %", getValue: (share) => share.whole * 100 },
  { title: "not-run, %", getValue: (share) => share.notRun * 100 },
  { title: "unknown, %", getValue: (share) => share.unknown * 100 },
  { title: "broken, %", getValue: (share) => share.broken * 100 },
  { title: "median, ms", getValue: (share) => share.medianMilliseconds },
  {
    title: "worst 99th percentile of a second, ms",
    getValue: (share) => share.worstPercentile99Milliseconds,
  },
];

/**
 * Returns a table per service of a plan, from high to low priority, then a
 * table of refusals by reason and one of the counters of backend servers and nodes.
 */
export function createServiceTables(
  plan: DeploymentPlan,
  runs: readonly ServiceRun[],
): readonly MeasureTable[] {
  const deploymentRuns = runs.filter((run) => run.deployment === plan.name);
  const services = [...plan.services].sort((left, right) =>
    getPriorityRank(left.priority) - getPriorityRank(right.priority)
  );
  return [
    ...services.map((service) => ({
      title: `${plan.name}: ${service.name}, priority ${service.priority}`,
      columns: [
        "phase",
        "system",
        ...shareColumns.map(({ title }) => title),
      ],
      rows: Object.values(ServicePhase).flatMap((phase) =>
        [false, true].map((isBaseline) => [
          phase,
          getSystemName(isBaseline),
          ...createShareCells(deploymentRuns, {
            service: service.name,
            phase,
            isBaseline,
          }),
        ])
      ),
    })),
    createReasonTable(plan, deploymentRuns),
    createBackendServerTable(plan, deploymentRuns),
  ];
}

function getPriorityRank(priority: string): number {
  return ["high", "normal", "low"].indexOf(priority);
}

function createShareCells(
  runs: readonly ServiceRun[],
  options: {
    readonly service: string;
    readonly phase: ServicePhase;
    readonly isBaseline: boolean;
  },
): readonly string[] {
  const shares = runs
    .filter((run) => run.isBaseline === options.isBaseline)
    .map((run) =>
      computeServiceShares(
        run.buckets.filter((bucket) =>
          bucket.service === options.service &&
          getServicePhase(bucket.second, run.timeline) === options.phase
        ),
      )
    );
  return shareColumns.map(({ getValue }) => formatSpread(shares.map(getValue)));
}

function createReasonTable(
  plan: DeploymentPlan,
  runs: readonly ServiceRun[],
): MeasureTable {
  const reasons = [
    ...new Set(runs.flatMap((run) => Object.keys(run.reasons))),
  ].sort();
  return {
    title: `${plan.name}: refusals and failures by reason, whole run`,
    columns: ["reason", getSystemName(false), getSystemName(true)],
    rows: reasons.map((reason) => [
      reason,
      ...[false, true].map((isBaseline) =>
        formatSpread(
          runs.filter((run) => run.isBaseline === isBaseline)
            .map((run) => run.reasons[reason] ?? 0),
        )
      ),
    ]),
  };
}

function createBackendServerTable(
  plan: DeploymentPlan,
  runs: readonly ServiceRun[],
): MeasureTable {
  const figures: readonly {
    readonly title: string;
    readonly getValue: (run: ServiceRun) => number;
  }[] = [
    {
      title: "calls begun in the zone taken out, after 3 s",
      getValue: (run) => run.begunInZoneTakenOut,
    },
    {
      title: "calls beyond what a backend server could bear",
      getValue: (run) => run.overloadEvents,
    },
    {
      title: "cold backend servers that fell over",
      getValue: (run) => run.falls,
    },
    { title: "idempotency keys run", getValue: (run) => run.keysRun },
    {
      title: "idempotency keys run more than once",
      getValue: (run) => run.keysRunTwice,
    },
    {
      title: "processor time of all nodes for one attempt of a caller, ms",
      getValue: (run) => run.processorMillisecondsPerCall,
    },
    {
      title: "calls that the caller held back",
      getValue: (run) => run.held,
    },
  ];
  return {
    title: `${plan.name}: what backend servers and nodes counted`,
    columns: ["figure", getSystemName(false), getSystemName(true)],
    rows: figures.map(({ title, getValue }) => [
      title,
      ...[false, true].map((isBaseline) =>
        formatSpread(
          runs.filter((run) => run.isBaseline === isBaseline).map(getValue),
        )
      ),
    ]),
  };
}
