import test from "ava";
import { CallPath } from "./call_path.ts";
import { computeCostFigures } from "./compute_cost_figures.ts";

test("computeCostFigures() compares each path with the direct calls of the same block", (t) => {
  const figures = computeCostFigures({
    [CallPath.Direct]: [1, 1, 1],
    [CallPath.Plain]: [2, 2, 2],
    [CallPath.OneHop]: [3, 3, 3],
    [CallPath.TwoHops]: [5, 5, 5],
  });
  const twoHops = figures.find(({ path }) => path === CallPath.TwoHops);
  t.true(Math.abs((twoHops?.addedMedian ?? 0) - 4) < 0.02);
  t.true(Math.abs((twoHops?.ratioPercentile99 ?? 0) - 5) < 0.02);
});
