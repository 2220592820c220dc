import test from "ava";
import { parseMeasureOptions } from "./parse_measure_options.ts";

const names = ["compile", "cost"];

test("parseMeasureOptions() sets an output folder by default for full runs only", (t) => {
  t.is(
    parseMeasureOptions([], names).unwrapOr(undefined)?.output,
    "docs/measurements",
  );
  t.is(
    parseMeasureOptions(["--quick"], names).unwrapOr(undefined)?.output,
    undefined,
  );
});

test("parseMeasureOptions() rejects unknown measures, unknown options and invalid numbers", (t) => {
  t.true(parseMeasureOptions(["--only", "speed"], names).isErr);
  t.true(parseMeasureOptions(["--fast"], names).isErr);
  t.true(parseMeasureOptions(["--seed", "one"], names).isErr);
  t.true(parseMeasureOptions(["--repeats", "0"], names).isErr);
});
