import { fitLine } from "../fit_line.ts";
import { formatNumber } from "../format_number.ts";
import { formatSpread } from "../format_spread.ts";
import type { MeasureTable } from "../measure_table.ts";
import { fleetFigures } from "./fleet_figures.ts";
import type { FleetFigure } from "./fleet_figure.ts";
import type { FleetRun } from "./fleet_run.ts";

/** Returns the table of the nodes, with the fitted lines if `withLine` is set, and the table of the baseline. */
export function createFleetTables(
  runs: readonly FleetRun[],
  options: { readonly withLine: boolean },
): readonly MeasureTable[] {
  const labels = [...new Set(runs.map((run) => run.label))];
  const select = (isBaseline: boolean) =>
    runs.filter((run) => run.isBaseline === isBaseline);
  const createRows = (selected: readonly FleetRun[], withLine: boolean) =>
    fleetFigures.map((figure) => [
      figure.title,
      ...labels.map((label) =>
        formatSpread(
          selected.filter((run) => run.label === label).map(figure.getValue),
        )
      ),
      ...(withLine ? createLineCells(selected, figure) : []),
    ]);
  return [
    {
      title: "Nodes",
      columns: [
        "figure",
        ...labels,
        ...(options.withLine
          ? ["line at 0", "line, for each node", "largest deviation"]
          : []),
      ],
      rows: createRows(select(false), options.withLine),
    },
    {
      title: "Baseline: every node watches the platform itself",
      columns: ["figure", ...labels],
      rows: createRows(select(true), false),
    },
  ];
}

function createLineCells(
  runs: readonly FleetRun[],
  figure: FleetFigure,
): readonly string[] {
  const line = fitLine(
    runs.map((run) => ({ size: run.nodes, value: figure.getValue(run) })),
  );
  return [
    formatNumber(line.base),
    formatNumber(line.perUnit),
    `${formatNumber(line.largestDeviation * 100)} %`,
  ];
}
