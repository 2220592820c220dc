import * as z from "zod";
import { basePartSchema } from "./base_part_schema.ts";
import { servicePartSchema } from "./service_part_schema.ts";

/** The shape of any part, as it travels between nodes. */
export const configurationPartSchema = z.discriminatedUnion("kind", [
  basePartSchema,
  servicePartSchema,
], { error: "a part of a configuration" });
