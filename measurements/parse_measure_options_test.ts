import test from "ava";
import { parseMeasureOptions } from "./parse_measure_options.ts";

const names = ["compile", "cost"];

test("parseMeasureOptions() writes pages for a full run only", (t) => {
  t.is(
    parseMeasureOptions([], names).unwrapOr(undefined)?.output,
    "docs/measurements",
  );
  t.is(
    parseMeasureOptions(["--quick"], names).unwrapOr(undefined)?.output,
    undefined,
  );
});

test("parseMeasureOptions() refuses an unknown measure and an unknown option", (t) => {
  t.true(parseMeasureOptions(["--only", "speed"], names).isErr);
  t.true(parseMeasureOptions(["--fast"], names).isErr);
  t.true(parseMeasureOptions(["--seed", "one"], names).isErr);
  t.true(parseMeasureOptions(["--repeats", "0"], names).isErr);
});
