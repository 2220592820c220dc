import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { createInterface } from "node:readline";
import type { SoakNode } from "./soak_node.ts";

const keptLines = 400;

/** Creates the handle of a node's process; only processes that it started are signalled. */
export function createSoakNode(
  options: { readonly program: string; readonly settingsPath: string },
): SoakNode {
  const lines: string[] = [];
  let child: ChildProcess | undefined;
  let life = 0;

  function isRunning(): boolean {
    return child !== undefined && child.exitCode === null &&
      child.signalCode === null;
  }

  return {
    getLife: () => life,
    start: () => {
      life += 1;
      child = spawn(process.execPath, [options.program], {
        env: {
          PATH: process.env["PATH"],
          CATKINQUAY_CONFIG: options.settingsPath,
        },
        stdio: ["ignore", "pipe", "inherit"],
      });
      const started = child;
      // Nothing outlives the soak, however it ends.
      const onExit = () => started.kill("SIGKILL");
      process.once("exit", onExit);
      started.once("exit", () => process.off("exit", onExit));
      createInterface({ input: child.stdout! }).on("line", (line) => {
        lines.push(line);
        lines.splice(0, Math.max(0, lines.length - keptLines));
      });
    },
    signal: (name) => {
      if (isRunning()) child?.kill(name);
    },
    waitForEnd: async () => {
      if (child !== undefined && isRunning()) await once(child, "exit");
    },
    getOutput: () => lines,
  };
}
