import { spawnSync } from "node:child_process";
import process from "node:process";
import type { CheckStep } from "./check_step.ts";

const outputBytesMaximum = 64 * 1024 * 1024;

/** Runs a step, prints its output if it failed, and returns whether it passed and its standard output. */
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
