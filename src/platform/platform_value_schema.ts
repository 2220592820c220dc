import * as z from "zod";
import { createWholeNumberSchema } from "../configuration/create_whole_number_schema.ts";

/** The platform's response to a read of the configuration; unknown fields are ignored. */
export const platformValueSchema = z.object({
  revision: createWholeNumberSchema(0, Number.MAX_SAFE_INTEGER),
  value: z.string({ error: "the published text" }),
}, { error: "an object with revision and value" });
