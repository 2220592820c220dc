import { readFileSync } from "node:fs";
import test from "ava";
import {
  compileSnapshot,
  parseConfiguration,
  splitConfiguration,
} from "./mod.ts";

test("the public API is sufficient to compile a configuration", (t) => {
  const text = readFileSync("src/command_line/baselines/valid.json", "utf8");
  const snapshot = parseConfiguration(text)
    .andThen(splitConfiguration)
    .andThen((set) => compileSnapshot(set));
  t.true(snapshot.isOk);
  t.true(snapshot.isOk && snapshot.value.routes.length > 0);
});
