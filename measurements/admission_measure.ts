import { compare } from "./admission/compare.ts";
import type { ComparisonRow } from "./admission/comparison_row.ts";
import { comparisons } from "./admission/comparisons.ts";
import type { Spread } from "./admission/spread.ts";
import { formatNumber } from "./format_number.ts";
import type { MeasureContext } from "./measure_context.ts";
import type { MeasureResult } from "./measure_result.ts";
import type { MeasureTable } from "./measure_table.ts";
import type { Measure } from "./measure.ts";
import { runInTurn } from "./run_in_turn.ts";

const seedCount = 8;
const quickComparisons = 1;

/** The admission's policies beside plain ones, in virtual time. */
export const admissionMeasure: Measure = {
  name: "admission",
  title: "Policies of the admission",
  question:
    "What do the queue's order, the ramp of the cold start and the controller of the limit bring, for one backend server under bursts, relapses and the return of its zone?",
  baseline:
    "Each policy beside a plain one, under the same calls: the variants of each table.",
  spread:
    `Mean over ${seedCount} seeds (one in a quick run), and in brackets the least and the most.`,
  run,
};

async function run(context: MeasureContext): Promise<MeasureResult> {
  const seeds = Array.from(
    { length: context.quick ? 1 : seedCount },
    (_, index) => context.seed + index,
  );
  const chosen = context.quick
    ? comparisons.slice(0, quickComparisons)
    : comparisons;
  const results = await runInTurn(chosen, (comparison) => {
    context.progress(comparison.name);
    return compare(comparison, { seeds });
  });
  return {
    tables: results.map(createTable),
    charts: [],
    targets: [],
    notes: [
      "The runs are in virtual time, so the load of the machine does not change them; the backend server is a fake whose cold start, relapse and shedding follow its options.",
    ],
    data: { seeds, rows: results.flat() },
  };
}

function createTable(rows: readonly ComparisonRow[]): MeasureTable {
  const classes = Object.keys(rows[0]?.whole ?? {});
  return {
    title: rows[0]?.comparison ?? "",
    columns: [
      "scenario",
      "variant",
      ...classes.map((name) => `${name}, whole, %`),
      "failed in 1,000",
      "ms to answer",
      "shed",
      "falls",
      "s to the full limit",
    ],
    rows: rows.map((row) => [
      row.scenario,
      row.variant,
      ...classes.map((name) => format(row.whole[name], 100)),
      format(row.failedInThousand),
      format(row.wholeMilliseconds),
      format(row.shed),
      format(row.falls),
      format(row.fullLimitAfterMilliseconds, 0.001),
    ]),
  };
}

function format(spread: Spread | undefined, factor = 1): string {
  return spread === undefined
    ? ""
    : `${formatNumber(spread.mean * factor)} (${
      formatNumber(spread.least * factor)
    } to ${formatNumber(spread.most * factor)})`;
}
