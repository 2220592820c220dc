import { createStrictObjectSchema } from "../diagnostics/create_strict_object_schema.ts";
import { nameSchema } from "./field_schemas.ts";

/** An availability zone as published. */
export const zoneEntrySchema = createStrictObjectSchema({
  name: nameSchema,
  region: nameSchema,
});
