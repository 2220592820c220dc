import { formatNumber } from "../format_number.ts";
import { summarizeSamples } from "../summarize_samples.ts";
import type { CapacityFigures } from "./capacity_figures.ts";
import type { CapacityRow } from "./capacity_row.ts";
import { createNotMeasuredRow } from "./create_not_measured_row.ts";
import { twoYearLoad } from "./two_year_load.ts";

const millisecondsPerSecond = 1000;
const quantity =
  "a node of a zone that was taken out, for the lifetime of keys, were every call keyed";

/** Computes the bytes and processor time that a node of a zone that was taken out spends on outcome queries from new owners of keys. */
export function computeQuestionRows(
  { question }: CapacityFigures,
): readonly CapacityRow[] {
  if (question === undefined) {
    return [createNotMeasuredRow(quantity, "question")];
  }
  const freshSamples = question.samples.filter((sample) =>
    sample.freshConnection
  );
  const queriesPerSecond = twoYearLoad.callsPerSecond / twoYearLoad.nodes;
  const bytes =
    summarizeSamples(freshSamples.map((sample) => sample.bytes)).median;
  const milliseconds =
    summarizeSamples(freshSamples.map((sample) => sample.milliseconds)).median;
  return [{
    quantity,
    derivation: `[question](measurements/question.md): ${
      formatNumber(queriesPerSecond)
    } questions a second, each ${formatNumber(bytes)} bytes and ${
      formatNumber(milliseconds)
    } ms`,
    figure: `${formatNumber(bytes * queriesPerSecond)} bytes a second, ${
      formatNumber(
        milliseconds * queriesPerSecond * 100 / millisecondsPerSecond,
      )
    } % of a core`,
    limit: "8,000 and 3.3, with those at rest",
  }];
}
