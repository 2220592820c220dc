import * as z from "zod";
import { createListSchema } from "../configuration/create_list_schema.ts";
import { createWholeNumberSchema } from "../configuration/create_whole_number_schema.ts";
import { nameSchema } from "../configuration/name_schema.ts";
import { VmState } from "./vm_state.ts";

const portMaximum = 65_535;

/** The platform's list of VMs; unknown fields are ignored. */
export const vmListSchema = z.object({
  vms: createListSchema(z.object({
    vm: nameSchema,
    zone: nameSchema,
    region: nameSchema,
    nodeAddress: z.object({
      host: z.union([z.ipv4(), z.ipv6()], { error: "an IP address" }),
      port: createWholeNumberSchema(1, portMaximum),
    }, { error: "an object with host and port" }),
    state: z.enum(VmState, { error: '"live" or "leaving"' }),
  }, { error: "an entry of a VM" })),
}, { error: "an object with vms" });
