import { DeploymentFailure } from "./deployment_failure.ts";

/** Returns the value, or fails where a step gave none. */
export function expectValue<Value>(
  value: Value | undefined,
  failure: string,
): Value {
  if (value === undefined) {
    throw new DeploymentFailure(failure);
  }
  return value;
}
