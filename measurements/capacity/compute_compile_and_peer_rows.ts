import { formatNumber } from "../format_number.ts";
import type { CapacityFigures } from "./capacity_figures.ts";
import type { CapacityRow } from "./capacity_row.ts";
import { createNotMeasuredRow } from "./create_not_measured_row.ts";
import { twoYearLoad } from "./two_year_load.ts";

const secondsPerDay = 86_400;
const millisecondsPerSecond = 1000;
const bytesPerMegabyte = 1_000_000;
const readerPhases: readonly string[] = ["parse", "split", "compile"];

/** Computes the costs of configuration versions and peer exchanges from the samples taken at the two-year size. */
export function computeCompileAndPeerRows(
  { compile, peers }: CapacityFigures,
): readonly CapacityRow[] {
  return [
    ...(compile === undefined
      ? [
        createNotMeasuredRow(
          "a version on a reader and on other nodes",
          "compile",
        ),
      ]
      : computeCompileRows(compile)),
    ...(peers === undefined
      ? [createNotMeasuredRow("an exchange with a peer", "peers")]
      : computePeerRows(peers)),
  ];
}

function computeCompileRows(
  compile: NonNullable<CapacityFigures["compile"]>,
): readonly CapacityRow[] {
  const isTwoYearSize = (entry: { readonly backendServers: number }) =>
    entry.backendServers === twoYearLoad.nodes;
  const phases = compile.sizes.find(isTwoYearSize)?.phases ?? [];
  const getPhaseMilliseconds = (name: string) =>
    phases.find(({ phase }) => phase === name)?.median ?? Number.NaN;
  const readerMilliseconds = readerPhases.reduce(
    (sum, name) => sum + getPhaseMilliseconds(name),
    0,
  );
  const bytes = compile.bytes.find(isTwoYearSize);
  const retained = compile.retained.find(isTwoYearSize)?.bytes ?? Number.NaN;
  const share = readerMilliseconds * twoYearLoad.changesPerDay /
    (secondsPerDay * millisecondsPerSecond);
  return [
    {
      quantity: "a new version holds the event loop of a reader",
      derivation:
        "[compile](measurements/compile.md) at 1,200 backend servers: parse, split and compile, one after another",
      figure: `${formatNumber(readerMilliseconds)} ms`,
      limit: "",
    },
    {
      quantity: "a changed part holds the event loop of any other node",
      derivation: "[compile](measurements/compile.md) at 1,200 backend servers",
      figure: `${formatNumber(getPhaseMilliseconds("changedPart"))} ms`,
      limit: "",
    },
    {
      quantity:
        `processor time of a reader for ${twoYearLoad.changesPerDay} versions a day`,
      derivation: "the first of these, times the changes of a day",
      figure: `${formatNumber(share * 100)} % of a core`,
      limit: "3.3 with that at rest",
    },
    {
      quantity: "the published document",
      derivation: "[compile](measurements/compile.md), counted",
      figure: `${formatNumber((bytes?.document ?? 0) / 1000)} KB`,
      limit: "1,049, one value of the platform",
    },
    {
      quantity: "manifest and one changed part",
      derivation: "[compile](measurements/compile.md), counted",
      figure: `${
        formatNumber(
          ((bytes?.manifest ?? 0) + (bytes?.largestServicePart ?? 0)) / 1000,
        )
      } KB`,
      limit: "",
    },
    {
      quantity: "memory of one version with its snapshot",
      derivation: "[compile](measurements/compile.md) at 1,200 backend servers",
      figure: `${formatNumber(retained / bytesPerMegabyte)} MB`,
      limit: "256 in all",
    },
  ];
}

function computePeerRows(
  peers: NonNullable<CapacityFigures["peers"]>,
): readonly CapacityRow[] {
  const figures =
    peers.sizes.find((entry) => entry.peers === twoYearLoad.nodes)?.figures ??
      [];
  const getMilliseconds = (name: string) =>
    figures.find(({ figure }) => figure === name)?.median ?? Number.NaN;
  return [
    {
      quantity: "decisions of one exchange, one side",
      derivation:
        "[peers](measurements/peers.md) at 1,200 peers: create and take over a message",
      figure: `${
        formatNumber(getMilliseconds("create") + getMilliseconds("take"))
      } ms`,
      limit: "",
    },
    {
      quantity: "taking over the list of VMs, first time and again",
      derivation: "[peers](measurements/peers.md) at 1,200 peers",
      figure: `${formatNumber(getMilliseconds("firstList"))} ms and ${
        formatNumber(getMilliseconds("repeatedList"))
      } ms`,
      limit: "",
    },
  ];
}
