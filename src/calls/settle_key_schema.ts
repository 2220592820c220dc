import * as z from "zod";
import { ledgerServerSchema } from "./ledger_server_schema.ts";

/** Schema of the parameters of the control method `settleKey`. */
export const settleKeySchema = z.object({
  service: z.string().min(1),
  key: z.string().min(1),
  /** The backend server whose ledger is queried. */
  backendServer: z.string().min(1),
  /** The server whose ledger sends the query, for which the key is fenced. */
  by: ledgerServerSchema,
});
