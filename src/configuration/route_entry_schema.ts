import * as z from "zod";
import { createStrictObjectSchema } from "../diagnostics/create_strict_object_schema.ts";
import { CallPriority } from "./call_priority.ts";
import { configurationLimits } from "./configuration_limits.ts";
import { createListSchema } from "./create_list_schema.ts";
import { createWholeNumberSchema } from "./create_whole_number_schema.ts";
import { nameSchema } from "./name_schema.ts";

const hostRequirement = "a host name in lower case without port";
const pathPrefixRequirement =
  'a path that begins with "/", has no query and, unless it is "/", does not end with "/"';
const methodRequirement = "an HTTP method in upper case";

/** The schema of a route in a configuration document. */
export const routeEntrySchema = createStrictObjectSchema({
  host: z.string({ error: hostRequirement })
    .regex(/^[a-z0-9][a-z0-9.-]{0,252}$/, { error: hostRequirement })
    .optional(),
  pathPrefix: z.string({ error: pathPrefixRequirement })
    .regex(/^\/$|^(\/[^/?#\s]+)+$/, { error: pathPrefixRequirement })
    .max(configurationLimits.maxPathPrefixCharacters, {
      error: pathPrefixRequirement,
    }),
  service: nameSchema,
  priority: z.enum(CallPriority, { error: '"high", "normal" or "low"' }),
  deadlineMilliseconds: createWholeNumberSchema(
    1,
    configurationLimits.maxDeadlineMilliseconds,
  ),
  idempotentMethods: createListSchema(
    z.string({ error: methodRequirement }).regex(/^[A-Z]{1,20}$/, {
      error: methodRequirement,
    }),
  ),
  requireIdempotencyKey: z.boolean({ error: "true or false" }),
});
