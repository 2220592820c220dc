import { DemoStepFailure } from "./demo_step_failure.ts";

/** Ends the demo with a named failure where a step did not come to its end. */
export function expectStep<Value>(
  value: Value | undefined,
  failure: string,
): Value {
  if (value === undefined) {
    throw new DemoStepFailure(failure);
  }
  return value;
}
