import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { createInterface } from "node:readline";
import type { SoakNode } from "./soak_node.ts";

const outputLinesMaximum = 400;

/** Creates the handle of a node's process without starting it; the handle signals only processes that it started. */
export function createSoakNode(
  options: { readonly program: string; readonly settingsPath: string },
): SoakNode {
  const lines: string[] = [];
  let child: ChildProcess | undefined;
  let incarnation = 0;

  function isRunning(): boolean {
    return child !== undefined && child.exitCode === null &&
      child.signalCode === null;
  }

  return {
    getIncarnation: () => incarnation,
    start: () => {
      incarnation += 1;
      child = spawn(process.execPath, [options.program], {
        env: {
          PATH: process.env["PATH"],
          CATKINQUAY_CONFIG: options.settingsPath,
        },
        stdio: ["ignore", "pipe", "inherit"],
      });
      const startedChild = child;
      // Kills the node when the process of the soak exits for any reason.
      const killChild = () => startedChild.kill("SIGKILL");
      process.once("exit", killChild);
      startedChild.once("exit", () => process.off("exit", killChild));
      createInterface({ input: child.stdout! }).on("line", (line) => {
        lines.push(line);
        lines.splice(0, Math.max(0, lines.length - outputLinesMaximum));
      });
    },
    signal: (name) => {
      if (isRunning()) child?.kill(name);
    },
    waitForExit: async () => {
      if (child !== undefined && isRunning()) await once(child, "exit");
    },
    getOutput: () => lines,
  };
}
