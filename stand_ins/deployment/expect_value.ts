import { DeploymentError } from "./deployment_error.ts";

/** Returns the value; throws a `DeploymentError` with the message if it is undefined. */
export function expectValue<Value>(
  value: Value | undefined,
  message: string,
): Value {
  if (value === undefined) {
    throw new DeploymentError(message);
  }
  return value;
}
