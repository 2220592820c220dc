import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test, { type ExecutionContext } from "ava";
import { readCallLines } from "./read_call_lines.ts";

function writeLog(t: ExecutionContext, text: string): string {
  const folder = mkdtempSync(join(tmpdir(), "catkinquay-lines-"));
  t.teardown(() => rmSync(folder, { recursive: true }));
  const path = join(folder, "log.jsonl");
  writeFileSync(path, text);
  return path;
}

function formatLine(call: string, time: number, padding = ""): string {
  return JSON.stringify({
    time,
    vm: "vm-1",
    kind: "call-queued",
    call,
    padding,
  });
}

async function readTimes(path: string, call: string) {
  const lines = await readCallLines(path, call);
  return lines.map((found) => found.map(({ time }) => time));
}

test("lines across the blocks of a large file are not lost", async (t) => {
  const lines = Array.from(
    { length: 4_000 },
    (_, time) =>
      formatLine(time % 3 === 0 ? "c" : "other", time, "x".repeat(1_000)),
  );
  const path = writeLog(t, lines.join("\n"));
  const times = await readTimes(path, "c");
  t.deepEqual(
    times.unwrapOr([]),
    Array.from({ length: 1_334 }, (_, index) => index * 3),
  );
});

test("a line that has the identifier in another field is not taken for one on the call", async (t) => {
  const path = writeLog(
    t,
    [formatLine("other", 1, "c"), formatLine("cc", 2), formatLine("c", 3)]
      .join("\n"),
  );
  t.deepEqual((await readTimes(path, "c")).unwrapOr([]), [3]);
});

test("an identifier with quotes, and an empty one, are found", async (t) => {
  const path = writeLog(
    t,
    [formatLine('a"b', 1), formatLine("", 2), ""].join("\n"),
  );
  t.deepEqual((await readTimes(path, 'a"b')).unwrapOr([]), [1]);
  t.deepEqual((await readTimes(path, "")).unwrapOr([]), [2]);
});

test("text that a log collector adds before a line does not hide it", async (t) => {
  const path = writeLog(t, `vm-1 | ${formatLine("c", 1)}\nno JSON "c"\n`);
  t.deepEqual((await readTimes(path, "c")).unwrapOr([]), [1]);
});
