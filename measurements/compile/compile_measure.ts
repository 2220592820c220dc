import { createLineChart } from "../create_line_chart.ts";
import { formatNumber } from "../format_number.ts";
import { formatSpread } from "../format_spread.ts";
import type { MeasureContext } from "../measure_context.ts";
import type { MeasureResult } from "../measure_result.ts";
import type { Measure } from "../measure.ts";
import { summarizeSamples } from "../summarize_samples.ts";
import { fitLine } from "../fit_line.ts";
import type { CompileSample } from "./compile_sample.ts";
import { countDocumentBytes } from "./count_document_bytes.ts";
import type { DocumentBytes } from "./document_bytes.ts";
import { measureRetainedBytes } from "./measure_retained_bytes.ts";
import { sampleCompile } from "./sample_compile.ts";

const sizes: readonly number[] = [16, 400, 1200];
const warmUpSampleCount = 5;
const blockCount = 5;
const samplesPerBlock = 20;
const quickSamplesPerBlock = 4;
const bytesPerMegabyte = 1_000_000;

type Phase = Exclude<keyof CompileSample, "backendServers">;

const phases: readonly { readonly phase: Phase; readonly title: string }[] = [
  { phase: "baseline", title: "JSON.parse alone (baseline)" },
  { phase: "parse", title: "parse and check the document" },
  { phase: "split", title: "cut into parts, compute digests" },
  { phase: "compile", title: "compile the whole version" },
  { phase: "changedPart", title: "check and compile one changed part" },
];

/** Measures how long a configuration version blocks the event loop, and its size. */
export const compileMeasure: Measure = {
  name: "compile",
  title: "Parsing and compiling a configuration",
  question:
    "How long does a new version hold the event loop of a node, during which calls wait, and how many bytes does it have? A reader parses, splits and compiles the whole document; any other node checks the parts that changed and compiles with the parts that it holds.",
  baseline:
    "`JSON.parse` of the same text in the same run; for bytes, the full document in place of the manifest and the changed part (counted from the same documents).",
  spread:
    `Median over all samples, and in brackets the lowest and the highest median of ${blockCount} blocks; sizes are interleaved.`,
  run,
};

function run(context: MeasureContext): Promise<MeasureResult> {
  const perBlock = context.quick ? quickSamplesPerBlock : samplesPerBlock;
  sizes.forEach((size) => collectSamples(size, warmUpSampleCount));
  const blockSamples = Array.from({ length: blockCount }, (_, block) => {
    context.reportProgress(`block ${block + 1} of ${blockCount}`);
    return sizes.flatMap((size) => collectSamples(size, perBlock))
      .map((sample) => ({ block, sample }));
  }).flat();
  const bytes = sizes.map(countDocumentBytes);
  const retained = sizes.map((backendServers) => ({
    backendServers,
    bytes: measureRetainedBytes(backendServers),
  }));
  return Promise.resolve(createResult({ blockSamples, bytes, retained }));
}

function collectSamples(
  backendServers: number,
  count: number,
): readonly CompileSample[] {
  return Array.from(
    { length: count },
    (_, variant) => sampleCompile(backendServers, variant),
  );
}

function createResult(figures: {
  readonly blockSamples: readonly {
    readonly block: number;
    readonly sample: CompileSample;
  }[];
  readonly bytes: readonly DocumentBytes[];
  readonly retained: readonly {
    readonly backendServers: number;
    readonly bytes: number;
  }[];
}): MeasureResult {
  const { blockSamples, bytes, retained } = figures;
  const select = (size: number, phase: Phase, block?: number) =>
    blockSamples
      .filter((entry) =>
        entry.sample.backendServers === size &&
        (block === undefined || entry.block === block)
      )
      .map((entry) => entry.sample[phase]);
  const getBlockMedians = (size: number, phase: Phase) =>
    Array.from(
      { length: blockCount },
      (_, block) => summarizeSamples(select(size, phase, block)).median,
    );
  const slopes = phases.map(({ phase, title }) => ({
    phase,
    title,
    ...fitLine(sizes.map((size) => ({
      size,
      value: summarizeSamples(select(size, phase)).median,
    }))),
  }));
  return {
    tables: [
      {
        title: "Milliseconds for which the event loop is held",
        columns: [
          "phase",
          ...sizes.map((size) => `${size} backend servers`),
          "longest at the largest size",
          "for each backend server",
        ],
        rows: phases.map(({ phase, title }, index) => [
          title,
          ...sizes.map((size) => formatSpread(getBlockMedians(size, phase))),
          formatNumber(Math.max(...select(sizes.at(-1) ?? 0, phase))),
          `${formatNumber((slopes[index]?.perUnit ?? 0) * 1000)} µs`,
        ]),
      },
      {
        title: "Bytes",
        columns: [
          "backend servers",
          "document (baseline)",
          "parts",
          "manifest",
          "base part",
          "largest service part",
          "sent for a change of one service",
          "share of the document",
        ],
        rows: bytes.map((entry) => [
          entry.backendServers,
          entry.document,
          entry.parts,
          entry.manifest,
          entry.basePart,
          entry.largestServicePart,
          entry.manifest + entry.largestServicePart,
          `${
            formatNumber(
              100 * (entry.manifest + entry.largestServicePart) /
                entry.document,
            )
          } %`,
        ]),
      },
      {
        title: "Memory that one version with its snapshot keeps",
        columns: ["backend servers", "megabytes of heap"],
        rows: retained.map((entry) => [
          entry.backendServers,
          formatNumber(entry.bytes / bytesPerMegabyte),
        ]),
      },
    ],
    charts: [createLineChart("compile", {
      title: "Time for which the event loop is held",
      horizontal: "backend servers in the register",
      vertical: "milliseconds, median",
      points: phases.flatMap(({ phase, title }) =>
        sizes.map((size) => ({
          horizontal: size,
          vertical: summarizeSamples(select(size, phase)).median,
          series: title,
        }))
      ),
    })],
    targets: [],
    notes: [
      "The phases ran one after another in one warm process. A process that has compiled few versions takes longer for its first ones.",
      "The users state no limit for the time that the loop is held; each call that arrives meanwhile waits for at most that time.",
    ],
    data: {
      sizes: sizes.map((size) => ({
        backendServers: size,
        phases: phases.map(({ phase }) => ({
          phase,
          ...summarizeSamples(select(size, phase)),
          blockMedians: getBlockMedians(size, phase),
        })),
      })),
      slopes,
      bytes,
      retained,
    },
  };
}
