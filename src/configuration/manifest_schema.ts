import * as z from "zod";
import { createStrictObjectSchema } from "../diagnostics/create_strict_object_schema.ts";
import { configurationFormat } from "./configuration_format.ts";
import { createListSchema } from "./create_list_schema.ts";
import { createWholeNumberSchema } from "./create_whole_number_schema.ts";
import { digestSchema } from "./digest_schema.ts";

const maxPartNameCharacters = 120;
const partNameRequirement =
  `the name of a part, of at most ${maxPartNameCharacters} characters`;

/** The schema of a manifest, as nodes send it to each other. */
export const manifestSchema = createStrictObjectSchema({
  format: z.literal(configurationFormat, {
    error: String(configurationFormat),
  }),
  number: createWholeNumberSchema(1, Number.MAX_SAFE_INTEGER),
  parts: createListSchema(createStrictObjectSchema({
    name: z.string({ error: partNameRequirement }).max(maxPartNameCharacters, {
      error: partNameRequirement,
    }),
    digest: digestSchema,
  })),
});
