/**
 * Runs the measures, prints their tables and writes the result pages and charts.
 *
 * @module
 */
import process from "node:process";
import { formatDiagnostic } from "../src/diagnostics/format_diagnostic.ts";
import { updateCapacityPage } from "./capacity/update_capacity_page.ts";
import { formatTable } from "./format_table.ts";
import type { Measure } from "./measure.ts";
import type { MeasureOptions } from "./measure_options.ts";
import type { MeasureReport } from "./measure_report.ts";
import { measures } from "./measures.ts";
import { parseMeasureOptions } from "./parse_measure_options.ts";
import { quickMeasures } from "./quick_measures.ts";
import { runSequentially } from "./run_sequentially.ts";
import { runMeasure } from "./run_measure.ts";
import { writeReport } from "./write_report.ts";

const capacityPage = "docs/CAPACITY.md";
const usageExitCode = 2;
const failureExitCode = 1;

const help = `Usage: npm run measure -- [options]

Runs the measurements and writes their pages and charts.

  --quick        run smaller measurements without the fleets, under a minute on
                 an idle machine; write no pages unless --output is given
  --json         print the figures as one JSON line at the end
  --only NAME    run one measure; may be repeated
  --seed NUMBER  seed of the random numbers (1)
  --repeats N    how often runs of processes are repeated (3; 1 in a quick run)
  --output PATH  folder for the pages (docs/measurements)
  --help         print this text

Exit status: 0 if every measure has a result, 1 if a measure has none, 2 for
invalid arguments.

Measures:
${measures.map((measure) => `  ${measure.name}: ${measure.title}`).join("\n")}
`;

async function main(): Promise<number> {
  const parsed = parseMeasureOptions(
    process.argv.slice(2),
    measures.map((measure) => measure.name),
  );
  if (parsed.isErr) {
    process.stderr.write(`${formatDiagnostic(parsed.error)}\n`);
    return usageExitCode;
  }
  const measureOptions = parsed.value;
  if (measureOptions.help) {
    process.stdout.write(help);
    return 0;
  }
  const selected = selectMeasures(measureOptions);
  const reportProgress = (message: string) =>
    process.stderr.write(`${message}\n`);
  const outcomes = await runSequentially(selected, async (measure) => {
    try {
      const report = await runMeasure(measure, {
        measureOptions,
        reportProgress,
      });
      if (measureOptions.output !== undefined) {
        await writeReport(report, measureOptions.output);
      }
      return report;
    } catch (error) {
      reportProgress(`${measure.name}: no result: ${String(error)}`);
      return undefined;
    }
  });
  const reports = outcomes.filter((report) => report !== undefined);
  if (measureOptions.output !== undefined && !measureOptions.quick) {
    updateCapacityPage(measureOptions.output, capacityPage);
  }
  printReports(reports, measureOptions.json);
  return reports.length === selected.length ? 0 : failureExitCode;
}

function selectMeasures(options: MeasureOptions): readonly Measure[] {
  if (options.only.length > 0) {
    return measures.filter(({ name }) => options.only.includes(name));
  }
  return options.quick ? quickMeasures : measures;
}

function printReports(reports: readonly MeasureReport[], json: boolean): void {
  const stream = json ? process.stderr : process.stdout;
  reports.forEach((report) => {
    stream.write(`\n${report.measure.title}\n`);
    report.result.tables.forEach((table) =>
      stream.write(`\n${table.title}\n${formatTable(table)}\n`)
    );
    report.result.targets.forEach((check) =>
      stream.write(`${check.verdict}: ${check.target}: ${check.measured}\n`)
    );
  });
  if (json) {
    const figures = reports.map((report) => ({
      name: report.measure.name,
      seed: report.seed,
      quick: report.quick,
      loadBefore: report.loadBefore,
      loadAfter: report.loadAfter,
      targets: report.result.targets,
      data: report.result.data,
    }));
    process.stdout.write(`${JSON.stringify({ measures: figures })}\n`);
  }
}

process.exitCode = await main();
