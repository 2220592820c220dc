import * as z from "zod";

/** Creates a schema of a whole number within bounds, both included. */
export function createWholeNumberSchema(
  minimum: number,
  maximum: number,
): z.ZodNumber {
  const error = `a whole number from ${minimum} to ${maximum}`;
  return z.int({ error }).min(minimum, { error }).max(maximum, { error });
}
