import { spawnSync } from "node:child_process";
import process from "node:process";
import type { CheckStep } from "./check_step.ts";

const outputBytesMaximum = 64 * 1024 * 1024;

/** Runs one step, prints its output where it failed, and returns whether it passed and what it printed. */
export function runStep(step: CheckStep): { passed: boolean; output: string } {
  process.stdout.write(`check: ${step.name}\n`);
  const run = spawnSync(step.program, step.parameters, {
    encoding: "utf8",
    maxBuffer: outputBytesMaximum,
  });
  const passed = run.status === 0;
  if (!passed) {
    process.stdout.write(`${run.stdout}${run.stderr}\n`);
  }
  return { passed, output: run.stdout };
}
