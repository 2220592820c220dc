import { formatNumber } from "../format_number.ts";
import { summarizeSamples } from "../summarize_samples.ts";
import type { CapacityFigures } from "./capacity_figures.ts";
import type { CapacityRow } from "./capacity_row.ts";
import { createGapRow } from "./create_gap_row.ts";
import { twoYearLoad } from "./two_year_load.ts";

const millisecondsPerSecond = 1000;
const quantity =
  "a node of a zone that was taken out, for the lifetime of keys, were every call keyed";

/** Works out what the questions of new owners cost a node of a zone that leaves. */
export function computeQuestionRows(
  { question }: CapacityFigures,
): readonly CapacityRow[] {
  if (question === undefined) {
    return [createGapRow(quantity, "question")];
  }
  const fresh = question.samples.filter((sample) => sample.freshConnection);
  const perSecond = twoYearLoad.callsPerSecond / twoYearLoad.nodes;
  const bytes = summarizeSamples(fresh.map((sample) => sample.bytes)).median;
  const milliseconds =
    summarizeSamples(fresh.map((sample) => sample.milliseconds)).median;
  return [{
    quantity,
    workedOut: `[question](measurements/question.md): ${
      formatNumber(perSecond)
    } questions a second, each ${formatNumber(bytes)} bytes and ${
      formatNumber(milliseconds)
    } ms`,
    figure: `${formatNumber(bytes * perSecond)} bytes a second, ${
      formatNumber(milliseconds * perSecond * 100 / millisecondsPerSecond)
    } % of a core`,
    limit: "8,000 and 3.3, with those at rest",
  }];
}
