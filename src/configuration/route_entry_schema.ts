import * as z from "zod";
import { createStrictObjectSchema } from "../diagnostics/create_strict_object_schema.ts";
import { CallPriority } from "./call_priority.ts";
import { configurationLimits } from "./configuration_limits.ts";
import { createListSchema } from "./create_list_schema.ts";
import { createWholeNumberSchema } from "./create_whole_number_schema.ts";
import { nameSchema } from "./field_schemas.ts";

const hostText = "a host name in lower case without port";
const pathPrefixText =
  'a path that begins with "/", has no query and, unless it is "/", does not end with "/"';
const methodText = "an HTTP method in upper case";

/** A route as published. */
export const routeEntrySchema = createStrictObjectSchema({
  host: z.string({ error: hostText })
    .regex(/^[a-z0-9][a-z0-9.-]{0,252}$/, { error: hostText })
    .optional(),
  pathPrefix: z.string({ error: pathPrefixText })
    .regex(/^\/$|^(\/[^/?#\s]+)+$/, { error: pathPrefixText })
    .max(configurationLimits.maxPathPrefixCharacters, {
      error: pathPrefixText,
    }),
  service: nameSchema,
  priority: z.enum(CallPriority, { error: '"high", "normal" or "low"' }),
  deadlineMilliseconds: createWholeNumberSchema(
    1,
    configurationLimits.maxDeadlineMilliseconds,
  ),
  idempotentMethods: createListSchema(
    z.string({ error: methodText }).regex(/^[A-Z]{1,20}$/, {
      error: methodText,
    }),
  ),
  requireIdempotencyKey: z.boolean({ error: "true or false" }),
});
