import * as z from "zod";

/** How a ledger's server is named in control messages. */
export const ledgerServerSchema = z.object({
  name: z.string().min(1),
  vm: z.string().min(1),
  nodeAddress: z.object({
    host: z.string().min(1),
    port: z.number().int().min(1).max(65535),
  }),
});
