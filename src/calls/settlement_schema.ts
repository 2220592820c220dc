import * as z from "zod";
import { SettlementKind } from "./settlement_kind.ts";
import { storedAnswerSchema } from "./stored_answer_schema.ts";

/** Schema of the result of the control method `settleCall`. */
export const settlementSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal(SettlementKind.Finished),
    answer: storedAnswerSchema.optional(),
  }),
  z.object({ kind: z.literal(SettlementKind.Running) }),
  z.object({ kind: z.literal(SettlementKind.NotRun) }),
  z.object({ kind: z.literal(SettlementKind.Unknown) }),
]);
