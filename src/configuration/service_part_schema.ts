import * as z from "zod";
import { createStrictObjectSchema } from "../diagnostics/create_strict_object_schema.ts";
import { backendServerEntrySchema } from "./backend_server_entry_schema.ts";
import { createListSchema } from "./create_list_schema.ts";
import { nameSchema } from "./name_schema.ts";
import { PartKind } from "./part_kind.ts";

/** The schema of a service part, as nodes send it to each other. */
export const servicePartSchema = createStrictObjectSchema({
  kind: z.literal(PartKind.Service, { error: `"${PartKind.Service}"` }),
  service: nameSchema,
  backendServers: createListSchema(backendServerEntrySchema),
});
