import * as z from "zod";
import { createStrictObjectSchema } from "../diagnostics/create_strict_object_schema.ts";
import { createListSchema } from "./create_list_schema.ts";
import { nameSchema } from "./name_schema.ts";
import { parsedConfigurationSchema } from "./parsed_configuration_schema.ts";
import { PartKind } from "./part_kind.ts";
import { zoneEntrySchema } from "./zone_entry_schema.ts";

/** The schema of the base part, as nodes send it to each other. */
export const basePartSchema = createStrictObjectSchema({
  kind: z.literal(PartKind.Base, { error: `"${PartKind.Base}"` }),
  zones: createListSchema(zoneEntrySchema),
  services: createListSchema(nameSchema),
  rules: parsedConfigurationSchema.shape.rules,
});
