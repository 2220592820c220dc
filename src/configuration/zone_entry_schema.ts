import { createStrictObject } from "../diagnostics/create_strict_object.ts";
import { nameSchema } from "./field_schemas.ts";

/** An availability zone as published. */
export const zoneEntrySchema = createStrictObject({
  name: nameSchema,
  region: nameSchema,
});
