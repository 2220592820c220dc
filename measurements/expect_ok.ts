import type { Result } from "true-myth";
import { InvalidRun } from "./invalid_run.ts";

/** Returns the value of a result; an error ends the measurement. */
export function expectOk<T>(result: Result<T, unknown>): T {
  if (result.isErr) {
    throw new InvalidRun(JSON.stringify(result.error));
  }
  return result.value;
}
