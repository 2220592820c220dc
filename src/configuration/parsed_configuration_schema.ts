import * as z from "zod";
import { createStrictObjectSchema } from "../diagnostics/create_strict_object_schema.ts";
import { backendServerEntrySchema } from "./backend_server_entry_schema.ts";
import { configurationFormat } from "./configuration_format.ts";
import { configurationLimits } from "./configuration_limits.ts";
import { createListSchema } from "./create_list_schema.ts";
import { createWholeNumberSchema } from "./create_whole_number_schema.ts";
import { digestSchema } from "./digest_schema.ts";
import { nameSchema } from "./name_schema.ts";
import { routeEntrySchema } from "./route_entry_schema.ts";
import { zoneEntrySchema } from "./zone_entry_schema.ts";

/**
 * The schema of a configuration document. `compileSnapshot` checks the
 * references between its entries.
 */
export const parsedConfigurationSchema = createStrictObjectSchema({
  format: z.literal(configurationFormat, {
    error: String(configurationFormat),
  }),
  number: createWholeNumberSchema(1, Number.MAX_SAFE_INTEGER),
  digest: digestSchema.optional(),
  register: createStrictObjectSchema({
    zones: createListSchema(zoneEntrySchema),
    services: createListSchema(createStrictObjectSchema({ name: nameSchema })),
    backendServers: createListSchema(backendServerEntrySchema),
  }),
  rules: createStrictObjectSchema({
    routes: createListSchema(routeEntrySchema),
    zonesTakenOut: createListSchema(nameSchema),
    backendServersLeaving: createListSchema(nameSchema),
    retryBudgetPercent: createWholeNumberSchema(
      0,
      configurationLimits.maxRetryBudgetPercent,
    ),
  }),
});
