import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { createInterface } from "node:readline";
import { text } from "node:stream/consumers";
import { fileURLToPath } from "node:url";
import test, { type ExecutionContext } from "ava";

const program = fileURLToPath(
  new URL("../command_line/main.js", import.meta.url),
);
/** Far below the drain timeout in the settings and far above the duration of a stop without calls. */
const stopMillisecondsMaximum = 10_000;
const drainMilliseconds = 60_000;
const requestMillisecondsMaximum = 5_000;
/** More text than the buffers of a pipe hold. */
const malformedCalls = 500;
const malformedHeader = "x".repeat(4_000);

interface StartedNode {
  readonly child: ChildProcess;
  readonly nodes: string;
  readonly operators: string;
}

/** Starts a node and reads its standard output up to the line with its addresses. */
async function startNode(
  t: ExecutionContext,
  programArguments: readonly string[] = [],
): Promise<StartedNode> {
  const folder = await mkdtemp(join(tmpdir(), "catkinquay-"));
  const settingsFile = join(folder, "node.json");
  const anyPort = "127.0.0.1:0";
  await writeFile(
    settingsFile,
    JSON.stringify({
      vm: "vm-1",
      zone: "sul-a",
      listeners: { callers: anyPort, nodes: anyPort, operators: anyPort },
      backendServer: null,
      platform: "127.0.0.1:1",
      timing: { drainMilliseconds },
    }),
  );
  const child = spawn(process.execPath, [
    ...programArguments,
    program,
    "node",
    "--settings",
    settingsFile,
  ], {
    stdio: ["ignore", "pipe", "ignore"],
  });
  t.teardown(async () => {
    child.kill("SIGKILL");
    await rm(folder, { recursive: true });
  });
  const lines = createInterface({ input: child.stdout! });
  const listening = await new Promise<string>((resolve) => {
    lines.on("line", (line) => line.includes('"listening"') && resolve(line));
  });
  lines.close();
  return { child, ...JSON.parse(listening).listening };
}

/** The node answers each with status 400 and writes a line of twice the header's length. */
async function sendMalformedCalls(
  node: StartedNode,
  count: number,
): Promise<readonly number[]> {
  const responses = await Promise.all(
    Array.from({ length: count }, () =>
      fetch(`http://${node.nodes}/call`, {
        method: "POST",
        headers: {
          "catkinquay-call-identifier": "c",
          "catkinquay-backend-server": "b",
          "catkinquay-method": "GET",
          "catkinquay-path": "/",
          "catkinquay-attempt": malformedHeader,
        },
        signal: AbortSignal.timeout(requestMillisecondsMaximum),
      })),
  );
  return responses.map(({ status }) => status);
}

async function stop(node: StartedNode) {
  const stoppedAt = Date.now();
  const exited = once(node.child, "exit");
  node.child.kill("SIGTERM");
  const [status] = await exited;
  return { status, milliseconds: Date.now() - stoppedAt };
}

test("SIGTERM stops a node without calls long before its drain deadline", async (t) => {
  const node = await startNode(t);
  const log = text(node.child.stdout!);
  const { status, milliseconds } = await stop(node);
  t.is(status, 0);
  t.true(milliseconds < stopMillisecondsMaximum);
  t.regex(await log, /"node-stopped"/);
});

test("a node answers and stops while nobody reads its standard output, and counts the dropped lines", async (t) => {
  const node = await startNode(t);
  const statuses = await sendMalformedCalls(node, malformedCalls);
  t.true(statuses.every((status) => status === 400));
  const health = await fetch(`http://${node.operators}/health/live`, {
    signal: AbortSignal.timeout(requestMillisecondsMaximum),
  });
  t.is(health.status, 200);
  const { status, milliseconds } = await stop(node);
  t.is(status, 0);
  t.true(milliseconds < stopMillisecondsMaximum);
});

test("every line of a node is written or counted as dropped, also the last ones before a stop", async (t) => {
  const node = await startNode(t);
  const log = text(node.child.stdout!);
  await sendMalformedCalls(node, malformedCalls);
  await stop(node);
  const lines = (await log).trim().split("\n").map((line) => JSON.parse(line));
  const written = lines.filter(({ diagnostic }) => diagnostic !== undefined);
  const dropped = lines.reduce(
    (total, line) => total + Number(line.dropped ?? 0),
    0,
  );
  t.true(dropped > 0);
  t.is(written.length + dropped, malformedCalls);
  t.regex(lines.at(-1).msg, /node-stopped|dropped/);
});

test("the last line before an uncaught error is written", async (t) => {
  const preload = `process.on("SIGUSR2", () => { throw new Error("test"); })`;
  const node = await startNode(t, [
    "--import",
    `data:text/javascript,${encodeURIComponent(preload)}`,
  ]);
  const log = text(node.child.stdout!);
  await sendMalformedCalls(node, 1);
  const exited = once(node.child, "exit");
  node.child.kill("SIGUSR2");
  const [status] = await exited;
  t.is(status, 1);
  t.regex(await log, /"found":"[^}]*xxxx/);
});

test("a node stops with its status when the reader of its standard output has left", async (t) => {
  const node = await startNode(t);
  node.child.stdout!.destroy();
  await sendMalformedCalls(node, 1);
  const { status, milliseconds } = await stop(node);
  t.is(status, 0);
  t.true(milliseconds < stopMillisecondsMaximum);
});
