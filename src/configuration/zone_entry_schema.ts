import { createStrictObjectSchema } from "../diagnostics/create_strict_object_schema.ts";
import { nameSchema } from "./name_schema.ts";

/** The schema of an availability zone in a configuration document. */
export const zoneEntrySchema = createStrictObjectSchema({
  name: nameSchema,
  region: nameSchema,
});
