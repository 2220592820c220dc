import type * as z from "zod";
import type { parsedConfigurationSchema } from "./parsed_configuration_schema.ts";

/** A configuration document that conforms to the schema. */
export type ParsedConfiguration = z.infer<typeof parsedConfigurationSchema>;
