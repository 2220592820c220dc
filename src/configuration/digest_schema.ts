import * as z from "zod";

const error = "64 lower-case hexadecimal digits";

/** The schema of a SHA-256 digest as `computeDigest` returns it. */
export const digestSchema = z.string({ error }).regex(/^[0-9a-f]{64}$/, {
  error,
});
