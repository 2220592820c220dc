import * as z from "zod";
import { nameSchema } from "../configuration/name_schema.ts";
import { createStrictObjectSchema } from "../diagnostics/create_strict_object_schema.ts";
import { VmSightingState } from "../peers/vm_sighting_state.ts";
import { instantSchema } from "./instant_schema.ts";

/** The schema of a VM sighting in a control message. */
export const vmSightingSchema = createStrictObjectSchema({
  vm: nameSchema,
  state: z.enum(VmSightingState, { error: "a VM state" }),
  at: instantSchema,
});
