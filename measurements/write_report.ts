import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { formatResultPage } from "./format_result_page.ts";
import type { MeasureReport } from "./measure_report.ts";
import { renderChart } from "./render_chart.ts";

/** Writes the page, the charts and the JSON figures of one measure into a folder, creating it if needed. */
export async function writeReport(
  report: MeasureReport,
  folder: string,
): Promise<void> {
  await mkdir(folder, { recursive: true });
  const name = report.measure.name;
  await writeFile(join(folder, `${name}.md`), formatResultPage(report));
  await writeFile(
    join(folder, `${name}.json`),
    `${JSON.stringify(createFigures(report), null, 2)}\n`,
  );
  await Promise.all(
    report.result.charts.map(async (chart) =>
      writeFile(join(folder, `${chart.name}.svg`), await renderChart(chart))
    ),
  );
}

function createFigures(report: MeasureReport) {
  return {
    command: report.command,
    seed: report.seed,
    quick: report.quick,
    loadBefore: report.loadBefore,
    loadAfter: report.loadAfter,
    processors: report.processors,
    targets: report.result.targets,
    data: report.result.data,
  };
}
