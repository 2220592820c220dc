import { decodeStoredAnswer } from "./decode_stored_answer.ts";
import type { Settlement } from "./settlement.ts";
import { SettlementKind } from "./settlement_kind.ts";
import { settlementSchema } from "./settlement_schema.ts";

/** Decodes the result of `settleCall`; returns undefined if it is invalid. */
export function decodeSettlement(message: unknown): Settlement | undefined {
  const { success, data } = settlementSchema.safeParse(message);
  if (!success) {
    return undefined;
  }
  if (data.kind !== SettlementKind.Finished) {
    return { kind: data.kind };
  }
  return {
    kind: data.kind,
    answer: data.answer === undefined
      ? undefined
      : decodeStoredAnswer(data.answer),
  };
}
