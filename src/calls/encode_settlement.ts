import type * as z from "zod";
import { encodeStoredAnswer } from "./encode_stored_answer.ts";
import type { Settlement } from "./settlement.ts";
import { SettlementKind } from "./settlement_kind.ts";
import type { settlementSchema } from "./settlement_schema.ts";

/** Encodes a settlement as the result of `settleCall`. */
export function encodeSettlement(
  settlement: Settlement,
): z.infer<typeof settlementSchema> {
  if (settlement.kind !== SettlementKind.Finished) {
    return { kind: settlement.kind };
  }
  return settlement.answer === undefined
    ? { kind: settlement.kind }
    : { kind: settlement.kind, answer: encodeStoredAnswer(settlement.answer) };
}
