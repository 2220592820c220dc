import * as z from "zod";

/** An address as settings give it: `HOST:PORT`. */
export const addressSchema = z.string().regex(
  /^[^:\s]+:\d{1,5}$/,
  "must be HOST:PORT",
);
