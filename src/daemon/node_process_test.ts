import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import test from "ava";

const program = fileURLToPath(
  new URL("../command_line/main.js", import.meta.url),
);
/** Far below the drain timeout in the settings and far above the duration of a stop without calls. */
const stopMillisecondsMaximum = 10_000;
const drainMilliseconds = 60_000;

test("SIGTERM stops a node without calls long before its drain deadline", async (t) => {
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
  const node = spawn(process.execPath, [
    program,
    "node",
    "--settings",
    settingsFile,
  ], {
    stdio: ["ignore", "pipe", "inherit"],
  });
  t.teardown(async () => {
    node.kill("SIGKILL");
    await rm(folder, { recursive: true });
  });
  const lines = createInterface({ input: node.stdout });
  await new Promise<void>((resolve) => {
    lines.on("line", (line) => line.includes('"listening"') && resolve());
  });
  const stoppedAt = Date.now();
  node.kill("SIGTERM");
  const [status] = await once(node, "exit");
  t.is(status, 0);
  t.true(Date.now() - stoppedAt < stopMillisecondsMaximum);
});
