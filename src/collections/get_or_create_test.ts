import test from "ava";
import { getOrCreate } from "./get_or_create.ts";

test("a value is created once for each key and kept", (t) => {
  const values = new Map<string, string[]>();
  const create = () => [];
  getOrCreate(values, "a", { create }).push("first");
  t.deepEqual(getOrCreate(values, "a", { create }), ["first"]);
  t.deepEqual(getOrCreate(values, "b", { create }), []);
});
