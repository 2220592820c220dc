import { decodeStoredAnswer } from "./decode_stored_answer.ts";
import type { Settlement } from "./settlement.ts";
import { SettlementKind } from "./settlement_kind.ts";
import { settlementSchema } from "./settlement_schema.ts";

/** Reads the result of `settleCall`; undefined where it is no valid one. */
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
