import { DeploymentFailure } from "./deployment_failure.ts";

/** Returns the value; throws a `DeploymentError` with the message if it is undefined. */
export function expectValue<Value>(
  value: Value | undefined,
  message: string,
): Value {
  if (value === undefined) {
    throw new DeploymentFailure(message);
  }
  return value;
}
