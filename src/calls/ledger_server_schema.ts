import * as z from "zod";

/** Schema of a ledger's server in control messages. */
export const ledgerServerSchema = z.object({
  name: z.string().min(1),
  vm: z.string().min(1),
  nodeAddress: z.object({
    host: z.string().min(1),
    port: z.number().int().min(1).max(65535),
  }),
});
