import type { ClassResult } from "./class_result.ts";
import type { Comparison } from "./comparison.ts";
import type { ComparisonRow } from "./comparison_row.ts";
import { runAdmission } from "./run_admission.ts";
import type { RunResult } from "./run_result.ts";

/** Runs every variant of a comparison under every scenario and seed, sequentially. */
export async function runComparison(
  comparison: Comparison,
  options: { readonly seeds: readonly number[] },
): Promise<readonly ComparisonRow[]> {
  const pairs = comparison.scenarios.flatMap((scenario) =>
    comparison.variants.map((variant) => ({ scenario, variant }))
  );
  return await pairs.reduce<Promise<readonly ComparisonRow[]>>(
    async (rows, { scenario, variant }) => {
      const finishedRows = await rows;
      const runs = await options.seeds.reduce<Promise<readonly RunResult[]>>(
        async (results, seed) => [
          ...await results,
          await runAdmission({
            ...scenario.options,
            seed,
            policy: variant.policy,
          }),
        ],
        Promise.resolve([]),
      );
      const row = createRow(runs, scenario.options.runMilliseconds);
      return [...finishedRows, {
        comparison: comparison.name,
        scenario: scenario.name,
        variant: variant.name,
        ...row,
      }];
    },
    Promise.resolve([]),
  );
}

function createRow(
  runs: readonly RunResult[],
  runMilliseconds: number,
): Omit<ComparisonRow, "comparison" | "scenario" | "variant"> {
  const names = [...new Set(runs.flatMap((run) => Object.keys(run.classes)))]
    .sort();
  const mapRuns = (value: (run: RunResult) => number) => runs.map(value);
  const computeCompleteShare = (
    results: readonly (ClassResult | undefined)[],
  ) =>
    sum(results, (result) => result.whole) /
    sum(results, (result) => result.sent);
  return {
    whole: Object.fromEntries([
      ...names.map((name) => [
        name,
        mapRuns((run) => computeCompleteShare([run.classes[name]])),
      ]),
      [
        "all",
        mapRuns((run) => computeCompleteShare(Object.values(run.classes))),
      ],
    ]),
    failedInThousand: mapRuns((run) => {
      const results = Object.values(run.classes);
      return 1_000 * sum(results, (result) => result.failed) /
        sum(results, (result) => result.sent);
    }),
    wholeMilliseconds: mapRuns((run) => {
      const results = Object.values(run.classes);
      return sum(results, (result) => result.wholeMilliseconds) /
        Math.max(1, sum(results, (result) => result.whole));
    }),
    shed: mapRuns((run) => run.server.shed),
    falls: mapRuns((run) => run.server.falls),
    peakRunning: mapRuns((run) => run.server.peakRunning),
    fullLimitAfterMilliseconds: mapRuns((run) =>
      Math.min(runMilliseconds, run.fullLimitAfterMilliseconds)
    ),
  };
}

function sum(
  results: readonly (ClassResult | undefined)[],
  getValue: (result: ClassResult) => number,
): number {
  return results.reduce(
    (total, result) => total + (result === undefined ? 0 : getValue(result)),
    0,
  );
}
