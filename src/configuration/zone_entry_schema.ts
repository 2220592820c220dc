import { createStrictObject } from "../diagnostics/create_strict_object.ts";
import { nameSchema } from "./field_schemas.ts";

/** The schema of an availability zone in a configuration document. */
export const zoneEntrySchema = createStrictObject({
  name: nameSchema,
  region: nameSchema,
});
