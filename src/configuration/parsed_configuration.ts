import type * as z from "zod";
import type { parsedConfigurationSchema } from "./parsed_configuration_schema.ts";

/** A configuration document of the right shape, as published. */
export type ParsedConfiguration = z.infer<typeof parsedConfigurationSchema>;
