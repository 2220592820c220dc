import * as z from "zod";
import { createStrictObjectSchema } from "../diagnostics/create_strict_object_schema.ts";
import { configurationFormat } from "./configuration_format.ts";
import { createListSchema } from "./create_list_schema.ts";
import { createWholeNumberSchema } from "./create_whole_number_schema.ts";
import { digestSchema } from "./digest_schema.ts";

const maxPartNameCharacters = 120;
const partNameText =
  `the name of a part, of at most ${maxPartNameCharacters} characters`;

/** The shape of a manifest, as it travels between nodes. */
export const manifestSchema = createStrictObjectSchema({
  format: z.literal(configurationFormat, {
    error: String(configurationFormat),
  }),
  number: createWholeNumberSchema(1, Number.MAX_SAFE_INTEGER),
  parts: createListSchema(createStrictObjectSchema({
    name: z.string({ error: partNameText }).max(maxPartNameCharacters, {
      error: partNameText,
    }),
    digest: digestSchema,
  })),
});
