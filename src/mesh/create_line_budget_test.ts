import test from "ava";
import { createLineBudget } from "./create_line_budget.ts";

test("a burst of lines is bounded in each second, and the drops are told", (t) => {
  const told: number[] = [];
  const budget = createLineBudget((dropped) => told.push(dropped));
  const written = Array.from(
    { length: 1_000 },
    (_, index) => budget.trySpend(1_000_000 + index / 2),
  ).filter((isWritten) => isWritten).length;
  t.true(written > 0 && written < 100);
  t.true(budget.trySpend(1_001_000));
  t.deepEqual(told, [1_000 - written]);
});
