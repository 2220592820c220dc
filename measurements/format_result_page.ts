import { formatNumber } from "./format_number.ts";
import { formatTable } from "./format_table.ts";
import type { MeasureReport } from "./measure_report.ts";

/** Returns the result page of one measure in Markdown. */
export function formatResultPage(report: MeasureReport): string {
  const { measure, result } = report;
  const blocks = [
    `# ${measure.title}`,
    "This page is written by the program; do not edit it.",
    measure.question,
    `**Baseline.** ${measure.baseline}`,
    `**Spread.** ${measure.spread}`,
    formatRunConditions(report),
    ...formatTargets(report),
    ...result.tables.flatMap((
      table,
    ) => [`## ${table.title}`, formatTable(table)]),
    ...result.charts.map((chart) => `![${chart.title}](${chart.name}.svg)`),
    ...(result.notes.length === 0 ? [] : [
      "## Limits of the result",
      result.notes.map((note) => `- ${note}`).join("\n"),
    ]),
  ];
  return `${blocks.join("\n\n")}\n`;
}

function formatRunConditions(report: MeasureReport): string {
  return formatTable({
    title: "",
    columns: ["circumstance", "value"],
    rows: [
      ["command", `\`${report.command}\``],
      ["seed", report.seed],
      [
        "size of the run",
        report.quick
          ? "quick: nodes and baseline at the same time"
          : "full: nodes and baseline in turn",
      ],
      [
        "load average over one minute, before and after",
        `${formatNumber(report.loadBefore)} and ${
          formatNumber(report.loadAfter)
        } on ${report.processors} processors`,
      ],
      [
        "run",
        `${new Date(report.startedAt).toISOString()} to ${
          new Date(report.endedAt).toISOString()
        }`,
      ],
    ],
  });
}

function formatTargets(report: MeasureReport): readonly string[] {
  if (report.result.targets.length === 0) {
    return [];
  }
  return [
    "## Against the stated targets",
    formatTable({
      title: "",
      columns: ["target", "measured", "verdict"],
      rows: report.result.targets.map((check) => [
        check.target,
        check.measured,
        check.verdict,
      ]),
    }),
  ];
}
