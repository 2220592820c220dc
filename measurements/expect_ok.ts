import type { Result } from "true-myth";
import { InvalidRunError } from "./invalid_run_error.ts";

/** Returns the value of a result; throws InvalidRunError if it is an error. */
export function expectOk<T>(result: Result<T, unknown>): T {
  if (result.isErr) {
    throw new InvalidRunError(JSON.stringify(result.error));
  }
  return result.value;
}
