import test from "ava";
import { updateAverage } from "./update_average.ts";

test("the first observation becomes the average, later ones move it by their weight", (t) => {
  const averages = new Map<string, number>();
  updateAverage(averages, "a", { newest: 100, weight: 0.1 });
  t.is(averages.get("a"), 100);
  updateAverage(averages, "a", { newest: 200, weight: 0.1 });
  t.is(averages.get("a"), 110);
  t.is(averages.get("b"), undefined);
});
