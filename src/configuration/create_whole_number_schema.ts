import * as z from "zod";

/** Creates the schema of an integer from `minimum` to `maximum`, inclusive. */
export function createWholeNumberSchema(
  minimum: number,
  maximum: number,
): z.ZodNumber {
  const error = `a whole number from ${minimum} to ${maximum}`;
  return z.int({ error }).min(minimum, { error }).max(maximum, { error });
}
