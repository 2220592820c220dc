import { formatNumber } from "../format_number.ts";
import { formatSpread } from "../format_spread.ts";
import type { MeasureContext } from "../measure_context.ts";
import type { MeasureResult } from "../measure_result.ts";
import type { Measure } from "../measure.ts";
import type { LedgerSample } from "./ledger_sample.ts";
import { sampleLedger } from "./sample_ledger.ts";

const sizes: readonly number[] = [10_000, 50_000, 200_000];
const quickSizes: readonly number[] = [10_000];
const repeats = 5;
const quickRepeats = 2;
const answerBytesMaximum = 16 * 1024 * 1024;
const bytesPerMegabyte = 1_000_000;

const variants: readonly {
  readonly title: string;
  readonly bodyBytesMaximum: number;
}[] = [
  { title: "answers kept up to 16 MiB", bodyBytesMaximum: answerBytesMaximum },
  { title: "no answers kept (baseline)", bodyBytesMaximum: 0 },
];

/** Measures the memory and processor time that a ledger needs per key. */
export const ledgerMeasure: Measure = {
  name: "ledger",
  title: "The ledger of an owner of keys",
  question:
    "How much memory does a ledger keep for each key, and how much time do its decisions take, where each call has its own key and an answer of 500 bytes? A ledger takes at most 200,000 keys.",
  baseline: "The same ledger without the bodies of answers, in the same run.",
  spread: "Median of the repeats and in brackets the lowest and the highest.",
  run,
};

function run(context: MeasureContext): Promise<MeasureResult> {
  const selectedSizes = context.quick ? quickSizes : sizes;
  const count = context.quick ? quickRepeats : repeats;
  const samples = Array.from({ length: count }, (_, repeat) => {
    context.reportProgress(`repeat ${repeat + 1} of ${count}`);
    return selectedSizes.flatMap((keys) =>
      variants.map(({ title, bodyBytesMaximum }) => ({
        title,
        ...sampleLedger(keys, bodyBytesMaximum),
      }))
    );
  }).flat();
  const select = (
    keys: number,
    title: string,
    getValue: (sample: LedgerSample) => number,
  ) =>
    formatSpread(
      samples
        .filter((sample) => sample.keys === keys && sample.title === title)
        .map(getValue),
    );
  return Promise.resolve({
    tables: variants.map(({ title }) => ({
      title,
      columns: [
        "keys",
        "megabytes",
        "bytes for each key",
        "microseconds of decisions for each key",
      ],
      rows: selectedSizes.map((keys) => [
        formatNumber(keys),
        select(keys, title, ({ bytes }) => bytes / bytesPerMegabyte),
        select(keys, title, (sample) => sample.bytes / sample.keys),
        select(keys, title, (sample) => sample.millisecondsPerKey * 1000),
      ]),
    })),
    charts: [],
    targets: [],
    notes: [
      "Keys have no predecessor here, so no other ledger is asked.",
      "The digest of the request is a part of the decisions' time.",
    ],
    data: { samples },
  });
}
