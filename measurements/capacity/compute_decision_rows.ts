import { formatNumber } from "../format_number.ts";
import type { CapacityFigures } from "./capacity_figures.ts";
import type { CapacityRow } from "./capacity_row.ts";
import { createGapRow } from "./create_gap_row.ts";
import { twoYearLoad } from "./two_year_load.ts";

const secondsPerDay = 86_400;
const millisecondsPerSecond = 1000;
const bytesPerMegabyte = 1_000_000;
const readerPhases: readonly string[] = ["parse", "split", "compile"];

/** Works out what configuration and peers cost at the two-year size, where the decisions were run at that size. */
export function computeDecisionRows(
  { compile, peers }: CapacityFigures,
): readonly CapacityRow[] {
  return [
    ...(compile === undefined
      ? [createGapRow("a version on a reader and on other nodes", "compile")]
      : computeCompileRows(compile)),
    ...(peers === undefined
      ? [createGapRow("an exchange with a peer", "peers")]
      : computePeerRows(peers)),
  ];
}

function computeCompileRows(
  compile: NonNullable<CapacityFigures["compile"]>,
): readonly CapacityRow[] {
  const isTwoYear = (entry: { readonly backendServers: number }) =>
    entry.backendServers === twoYearLoad.nodes;
  const phases = compile.sizes.find(isTwoYear)?.phases ?? [];
  const getPhase = (name: string) =>
    phases.find(({ phase }) => phase === name)?.median ?? Number.NaN;
  const reader = readerPhases.reduce((sum, name) => sum + getPhase(name), 0);
  const bytes = compile.bytes.find(isTwoYear);
  const retained = compile.retained.find(isTwoYear)?.bytes ?? Number.NaN;
  const share = reader * twoYearLoad.changesPerDay /
    (secondsPerDay * millisecondsPerSecond);
  return [
    {
      quantity: "a new version holds the event loop of a reader",
      workedOut:
        "[compile](measurements/compile.md) at 1,200 backend servers: parse, split and compile, one after another",
      figure: `${formatNumber(reader)} ms`,
      limit: "",
    },
    {
      quantity: "a changed part holds the event loop of any other node",
      workedOut: "[compile](measurements/compile.md) at 1,200 backend servers",
      figure: `${formatNumber(getPhase("changedPart"))} ms`,
      limit: "",
    },
    {
      quantity:
        `processor time of a reader for ${twoYearLoad.changesPerDay} versions a day`,
      workedOut: "the first of these, times the changes of a day",
      figure: `${formatNumber(share * 100)} % of a core`,
      limit: "3.3 with that at rest",
    },
    {
      quantity: "the published document",
      workedOut: "[compile](measurements/compile.md), counted",
      figure: `${formatNumber((bytes?.document ?? 0) / 1000)} KB`,
      limit: "1,049, one value of the platform",
    },
    {
      quantity: "manifest and one changed part",
      workedOut: "[compile](measurements/compile.md), counted",
      figure: `${
        formatNumber(
          ((bytes?.manifest ?? 0) + (bytes?.largestServicePart ?? 0)) / 1000,
        )
      } KB`,
      limit: "",
    },
    {
      quantity: "memory of one version with its snapshot",
      workedOut: "[compile](measurements/compile.md) at 1,200 backend servers",
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
  const read = (name: string) =>
    figures.find(({ figure }) => figure === name)?.median ?? Number.NaN;
  return [
    {
      quantity: "decisions of one exchange, one side",
      workedOut:
        "[peers](measurements/peers.md) at 1,200 peers: create and take over a message",
      figure: `${formatNumber(read("create") + read("take"))} ms`,
      limit: "",
    },
    {
      quantity: "taking over the list of VMs, first time and again",
      workedOut: "[peers](measurements/peers.md) at 1,200 peers",
      figure: `${formatNumber(read("firstList"))} ms and ${
        formatNumber(read("repeatedList"))
      } ms`,
      limit: "",
    },
  ];
}
