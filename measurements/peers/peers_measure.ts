import { readFileSync } from "node:fs";
import type { DistributionContext } from "../../src/distribution/distribution_context.ts";
import { parseNodeSettings } from "../../src/daemon/parse_node_settings.ts";
import { createRandomSource } from "../../src/runtime/create_random_source.ts";
import { expectOk } from "../expect_ok.ts";
import { fitLine } from "../fit_line.ts";
import { formatNumber } from "../format_number.ts";
import { formatSpread } from "../format_spread.ts";
import type { MeasureContext } from "../measure_context.ts";
import type { MeasureResult } from "../measure_result.ts";
import type { Measure } from "../measure.ts";
import { summarizeSamples } from "../summarize_samples.ts";
import type { PeerSample } from "./peer_sample.ts";
import { samplePeers } from "./sample_peers.ts";

const sizes: readonly number[] = [16, 96, 400, 1200];
const blockCount = 5;
const samplesPerBlock = 10;
const quickSamplesPerBlock = 2;
const warmUpSampleCount = 5;
const startInstant = 1_764_800_000_000;
const sampleSettingsPath = "../../../docs/samples/settings_vm_1.json";

type Figure = Exclude<keyof PeerSample, "peers" | "messageBytes">;

const figures: readonly { readonly figure: Figure; readonly title: string }[] =
  [
    { figure: "create", title: "create a message of an exchange" },
    { figure: "take", title: "take over a message with 32 newer records" },
    { figure: "choose", title: "choose the peers of a push" },
    { figure: "firstList", title: "take over the list of VMs, first time" },
    { figure: "repeatedList", title: "take over the list of VMs again" },
  ];

/** Measures the operations on peer records with up to the two-year number of peers. */
export const peersMeasure: Measure = {
  name: "peers",
  title: "Knowing many peers",
  question:
    "How long does a node's event loop take for one exchange, for choosing peers and for taking over the list of VMs, and how many bytes has a message, when the node knows many peers? The decisions run alone, without processes.",
  baseline:
    "The smallest size in the same run: a decision whose cost does not depend on the number of peers has a flat row.",
  spread:
    `Median over all samples, and in brackets the lowest and the highest median of ${blockCount} blocks; sizes are interleaved.`,
  run,
};

function run(context: MeasureContext): Promise<MeasureResult> {
  const distributionContext = createDistributionContext(context.seed);
  const perBlock = context.quick ? quickSamplesPerBlock : samplesPerBlock;
  const collectSamples = (count: number) =>
    sizes.flatMap((size) =>
      Array.from(
        { length: count },
        () => samplePeers(size, distributionContext),
      )
    );
  collectSamples(warmUpSampleCount);
  const blockSamples = Array.from({ length: blockCount }, (_, block) => {
    context.reportProgress(`block ${block + 1} of ${blockCount}`);
    return collectSamples(perBlock).map((sample) => ({ block, sample }));
  }).flat();
  return Promise.resolve(createResult(blockSamples));
}

function createDistributionContext(seed: number): DistributionContext {
  const text = readFileSync(
    new URL(sampleSettingsPath, import.meta.url),
    "utf8",
  );
  return {
    now: startInstant,
    random: createRandomSource(seed),
    settings: expectOk(parseNodeSettings(text, sampleSettingsPath)),
  };
}

function createResult(
  blockSamples: readonly {
    readonly block: number;
    readonly sample: PeerSample;
  }[],
): MeasureResult {
  const select = (size: number, figure: Figure, block?: number) =>
    blockSamples
      .filter((entry) =>
        entry.sample.peers === size &&
        (block === undefined || entry.block === block)
      )
      .map((entry) => entry.sample[figure]);
  const getBlockMedians = (size: number, figure: Figure) =>
    Array.from(
      { length: blockCount },
      (_, block) => summarizeSamples(select(size, figure, block)).median,
    );
  const getMessageBytes = (size: number) =>
    blockSamples.find((entry) => entry.sample.peers === size)?.sample
      .messageBytes ??
      0;
  const slopes = figures.map(({ figure, title }) => ({
    figure,
    title,
    ...fitLine(
      sizes.map((size) => ({
        size,
        value: summarizeSamples(select(size, figure)).median,
      })),
    ),
  }));
  return {
    tables: [
      {
        title: "Milliseconds for which the event loop is held",
        columns: [
          "decision",
          ...sizes.map((size) => `${size} peers`),
          "longest at the largest size",
          "largest deviation from a line",
        ],
        rows: figures.map(({ figure, title }, index) => [
          title,
          ...sizes.map((size) => formatSpread(getBlockMedians(size, figure))),
          formatNumber(Math.max(...select(sizes.at(-1) ?? 0, figure))),
          `${formatNumber((slopes[index]?.largestDeviation ?? 0) * 100)} %`,
        ]),
      },
      {
        title: "Bytes of a message without news",
        columns: sizes.map((size) => `${size} peers`),
        rows: [sizes.map(getMessageBytes)],
      },
    ],
    charts: [],
    targets: [],
    notes: [
      "The decisions ran one after another in one warm process.",
      "A message is counted in JSON, without the JSON-RPC envelope and HTTP heads.",
    ],
    data: {
      sizes: sizes.map((size) => ({
        peers: size,
        messageBytes: getMessageBytes(size),
        figures: figures.map(({ figure }) => ({
          figure,
          ...summarizeSamples(select(size, figure)),
          blockMedians: getBlockMedians(size, figure),
        })),
      })),
      slopes,
    },
  };
}
