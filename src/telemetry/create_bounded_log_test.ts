import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { closeSync, openSync, readFileSync, rmSync } from "node:fs";
import { mkdtemp } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { text } from "node:stream/consumers";
import test, { type ExecutionContext } from "ava";

const moduleUrl = new URL("./create_bounded_log.js", import.meta.url).href;
const lineText = "x".repeat(400);
/** The buffer's megabyte, twice for its copies, and what the runtime allocates meanwhile. */
const growthBytesMaximum = 12 * 1_048_576;

/** Runs a script that has `logger` and `text`, a text of 400 characters. */
function runScript(
  t: ExecutionContext,
  script: string,
  options: { readonly standardOutput: "pipe" | number },
): ChildProcess {
  const child = spawn(process.execPath, [
    "--expose-gc",
    "--input-type=module",
    "--eval",
    `import { createBoundedLog } from ${JSON.stringify(moduleUrl)};
    const { logger } = createBoundedLog({});
    const text = ${JSON.stringify(lineText)};
    ${script}`,
  ], { stdio: ["ignore", options.standardOutput, "pipe"] });
  t.teardown(() => child.kill("SIGKILL"));
  return child;
}

function countLines(log: string) {
  const lines = log.trim().split("\n").map((line) => JSON.parse(line));
  const numbers = lines.flatMap(({ line }) => line === undefined ? [] : [line]);
  return {
    numbers,
    dropped: lines.reduce((sum, { dropped = 0 }) => sum + dropped, 0),
  };
}

test("a log of 40 MB that nobody reads does not grow the process, and each line is written or counted", async (t) => {
  const lineCount = 100_000;
  const child = runScript(
    t,
    `import { once } from "node:events";
    global.gc();
    const before = process.memoryUsage();
    for (let line = 0; line < ${lineCount}; line += 1) {
      logger.info({ line, text });
      if (line % 1_000 === 0) await new Promise(setImmediate);
    }
    global.gc();
    const after = process.memoryUsage();
    process.stderr.write(String(
      after.heapUsed + after.external - before.heapUsed - before.external));
    setTimeout(() => logger.info({ line: -1 }), 2_000);`,
    { standardOutput: "pipe" },
  );
  const [growth] = await once(child.stderr!, "data");
  t.true(Number(growth) < growthBytesMaximum, `${growth} bytes`);
  const { numbers, dropped } = countLines(await text(child.stdout!));
  t.true(dropped > 0);
  t.is(numbers.length + dropped, lineCount + 1);
  t.is(numbers.at(-1), -1);
});

test("lines buffered for a slow reader are whole when the process exits", async (t) => {
  const lineCount = 2_000;
  const child = runScript(
    t,
    `for (let line = 0; line < ${lineCount}; line += 1) {
      logger.info({ line, text });
    }
    process.stderr.write("exits");
    process.exit(0);`,
    { standardOutput: "pipe" },
  );
  await once(child.stderr!, "data");
  await new Promise((resolve) => setTimeout(resolve, 200));
  const { numbers, dropped } = countLines(await text(child.stdout!));
  t.is(dropped, 0);
  t.deepEqual(numbers, Array.from({ length: lineCount }, (_, line) => line));
});

test("a process that nobody reads exits with its status though its buffer is full", async (t) => {
  const child = runScript(
    t,
    `for (let line = 0; line < 10_000; line += 1) {
      logger.info({ line, text });
    }
    await new Promise((resolve) => setTimeout(resolve, 1_200));
    process.exit(3);`,
    { standardOutput: "pipe" },
  );
  const [status] = await once(child, "exit");
  t.is(status, 3);
});

test("a process exits with its status after the reader has left", async (t) => {
  const child = runScript(
    t,
    `process.stderr.write("started");
    setTimeout(() => {
      logger.info({ line: 0 });
      process.exit(3);
    }, 300);`,
    { standardOutput: "pipe" },
  );
  await once(child.stderr!, "data");
  child.stdout!.destroy();
  const [status] = await once(child, "exit");
  t.is(status, 3);
});

[
  { name: "process.exit()", ending: "process.exit(1);" },
  { name: "an uncaught error", ending: "throw new Error('test');" },
  { name: "an empty event loop", ending: "process.exitCode = 1;" },
].forEach(({ name, ending }) =>
  test(`each line in a file is written once when ${name} ends the process`, async (t) => {
    const folder = await mkdtemp(join(tmpdir(), "catkinquay-log-"));
    const path = join(folder, "log.jsonl");
    const file = openSync(path, "w");
    t.teardown(() => rmSync(folder, { recursive: true }));
    const lineCount = 500;
    const child = runScript(
      t,
      `for (let line = 0; line < ${lineCount}; line += 1) {
        logger.info({ line, text });
        if (line % 50 === 0) await new Promise(setImmediate);
      }
      ${ending}`,
      { standardOutput: file },
    );
    closeSync(file);
    const [status] = await once(child, "exit");
    t.is(status, 1);
    const { numbers } = countLines(readFileSync(path, "utf8"));
    t.deepEqual(
      numbers.toSorted((left, right) => left - right),
      Array.from({ length: lineCount }, (_, line) => line),
    );
  })
);
