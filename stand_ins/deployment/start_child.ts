import { spawn } from "node:child_process";
import process from "node:process";
import { createInterface } from "node:readline";
import type { Child } from "./child.ts";
import { DeploymentError } from "./deployment_error.ts";

const outputLinesMaximum = 40;

/** Starts a Node.js program as a child process, whose standard input closes when this process exits. */
export function startChild(
  name: string,
  parameters: readonly string[],
): Child {
  const child = spawn(process.execPath, parameters, {
    stdio: ["pipe", "pipe", "pipe"],
  });
  const lines: string[] = [];
  const appendLine = (line: string) => {
    lines.push(line);
    lines.splice(0, Math.max(0, lines.length - outputLinesMaximum));
  };
  const output = createInterface({ input: child.stdout });
  output.on("line", appendLine);
  createInterface({ input: child.stderr }).on("line", appendLine);
  child.stdin.on("error", () => {});
  const ended = new Promise<number | null>((resolve) => {
    child.once("close", resolve);
  });
  const firstLine = new Promise<string>((resolve, reject) => {
    output.once("line", resolve);
    ended.then((status) =>
      reject(
        new DeploymentError(
          `"${name}" exited with status ${status}: ${lines.join("\n")}`,
        ),
      )
    );
  });
  firstLine.catch(() => {});
  return { name, process: child, firstLine, ended, getOutput: () => lines };
}
