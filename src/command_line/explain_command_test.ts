import { execFile } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { promisify } from "node:util";
import test from "ava";
import { writeFleetLogs } from "../testing/write_fleet_logs.ts";

const program = fileURLToPath(new URL("./main.js", import.meta.url));
const recordedLog = "src/command_line/baselines/mesh_log.jsonl";
const call = "fc63dea014bd6888";
/** One minute at the rate limit of a node's log. */
const linesPerNode = 3_600;
const nodes = 195;
const millisecondsMaximum = 2_000;

test("explain does not take longer than 2 s over the logs of 195 nodes, and its first line has the cause", async (t) => {
  const folder = mkdtempSync(join(tmpdir(), "catkinquay-explain-"));
  t.teardown(() => rmSync(folder, { recursive: true }));
  const paths = writeFleetLogs(folder, { nodes, linesPerNode });
  appendFileSync(paths.at(-1)!, readFileSync(recordedLog));
  const startedAt = performance.now();
  const { stdout } = await promisify(execFile)(process.execPath, [
    program,
    "explain",
    call,
    ...paths,
  ]);
  const milliseconds = performance.now() - startedAt;
  const [first, ...rest] = stdout.trim().split("\n");
  t.log(`${Math.round(milliseconds)} ms`);
  t.true(milliseconds < millisecondsMaximum, `${milliseconds} ms`);
  t.regex(first!, /contact .*i-e1b71c79c1/i);
  t.is(rest.length, 6);
});
