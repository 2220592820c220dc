import * as z from "zod";

/** The schema of an address in settings: `HOST:PORT`. */
export const addressSchema = z.string().regex(
  /^[^:\s]+:\d{1,5}$/,
  "must be HOST:PORT",
);
