import { parse, View } from "vega";
import { compile } from "vega-lite";
import type { MeasureChart } from "./measure_chart.ts";

/** Renders a chart as the text of an SVG file. */
export async function renderChart(chart: MeasureChart): Promise<string> {
  const view = new View(parse(compile(chart.specification).spec), {
    renderer: "none",
  });
  const text = await view.toSVG();
  view.finalize();
  return text;
}
