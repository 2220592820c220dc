import * as z from "zod";
import { configurationLimits } from "./configuration_limits.ts";

const nameRequirement =
  `a name of 1 to ${configurationLimits.maxNameCharacters} letters, digits, ".", "_" or "-"`;

/** The schema of the name of a zone, region, service, backend server or VM. */
export const nameSchema = z
  .string({ error: nameRequirement })
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/, { error: nameRequirement })
  .max(configurationLimits.maxNameCharacters, { error: nameRequirement });
