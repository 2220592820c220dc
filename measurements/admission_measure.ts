import { runComparison } from "./admission/run_comparison.ts";
import { comparisons } from "./admission/comparisons.ts";
import { createComparisonTable } from "./admission/create_comparison_table.ts";
import type { MeasureContext } from "./measure_context.ts";
import type { MeasureResult } from "./measure_result.ts";
import type { Measure } from "./measure.ts";
import { runSequentially } from "./run_sequentially.ts";

const seedCount = 8;
const quickComparisonCount = 1;

/** Compares the admission policies with simpler ones in virtual time. */
export const admissionMeasure: Measure = {
  name: "admission",
  title: "Policies of the admission",
  question:
    "What do the queue's order, the ramp of the cold start and the controller of the limit bring, for one backend server under bursts, relapses and the return of its zone?",
  baseline:
    "Each policy beside a plain one, under the same calls: the variants of each table.",
  spread:
    `Median over ${seedCount} seeds (one in a quick run), and in brackets the lowest and the highest.`,
  run,
};

async function run(context: MeasureContext): Promise<MeasureResult> {
  const seeds = Array.from(
    { length: context.quick ? 1 : seedCount },
    (_, index) => context.seed + index,
  );
  const selectedComparisons = context.quick
    ? comparisons.slice(0, quickComparisonCount)
    : comparisons;
  const results = await runSequentially(selectedComparisons, (comparison) => {
    context.reportProgress(comparison.name);
    return runComparison(comparison, { seeds });
  });
  return {
    tables: results.map(createComparisonTable),
    charts: [],
    targets: [],
    notes: [
      "The runs are in virtual time, so the load of the machine does not change them; the backend server is a fake whose cold start, relapse and shedding follow its options.",
    ],
    data: { seeds, rows: results.flat() },
  };
}
