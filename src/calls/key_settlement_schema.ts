import * as z from "zod";
import { ledgerServerSchema } from "./ledger_server_schema.ts";
import { SettlementKind } from "./settlement_kind.ts";
import { storedAnswerSchema } from "./stored_answer_schema.ts";

/** Schema of the result of the control method `settleKey`. */
export const keySettlementSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal(SettlementKind.Finished),
    fingerprint: z.string(),
    answer: storedAnswerSchema.optional(),
  }),
  z.object({
    kind: z.literal(SettlementKind.NotRun),
    ledgerSince: z.number(),
    fencers: z.array(ledgerServerSchema),
  }),
  z.object({ kind: z.literal(SettlementKind.Running) }),
  z.object({ kind: z.literal(SettlementKind.Unknown) }),
]);
