import * as z from "zod";
import { basePartSchema } from "./base_part_schema.ts";
import { servicePartSchema } from "./service_part_schema.ts";

/** The schema of a part of either kind, as nodes send it to each other. */
export const configurationPartSchema = z.discriminatedUnion("kind", [
  basePartSchema,
  servicePartSchema,
], { error: "a part of a configuration" });
