import test from "ava";
import { createBarChart } from "./create_bar_chart.ts";
import { createLineChart } from "./create_line_chart.ts";
import { renderChart } from "./render_chart.ts";

test("renderChart() renders a line chart with axis title and legend", async (t) => {
  const text = await renderChart(createLineChart("lines", {
    title: "Lines",
    horizontal: "nodes",
    vertical: "milliseconds",
    points: [
      { horizontal: 12, vertical: 3, series: "nodes" },
      { horizontal: 24, vertical: 5, series: "nodes" },
      { horizontal: 12, vertical: 4, series: "baseline" },
    ],
  }));
  t.true(text.startsWith("<svg"));
  t.true(text.includes("milliseconds"));
  t.true(text.includes("baseline"));
});

test("renderChart() renders the groups of a bar chart", async (t) => {
  const text = await renderChart(createBarChart("bars", {
    title: "Bars",
    value: "milliseconds",
    bars: [{ group: "at rest", series: "nodes", value: 5 }],
  }));
  t.true(text.includes("at rest"));
});
