import * as z from "zod";

const error = "64 lower-case hexadecimal digits";

/** A SHA-256 digest in the form that `computeDigest` gives. */
export const digestSchema = z.string({ error }).regex(/^[0-9a-f]{64}$/, {
  error,
});
