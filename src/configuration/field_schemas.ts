import * as z from "zod";
import { configurationLimits } from "./configuration_limits.ts";

const nameText =
  `a name of 1 to ${configurationLimits.maxNameCharacters} letters, digits, ".", "_" or "-"`;

/** The name of a zone, region, service, backend server or VM. */
export const nameSchema = z
  .string({ error: nameText })
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/, { error: nameText })
  .max(configurationLimits.maxNameCharacters, { error: nameText });
