import { decodeStoredAnswer } from "./decode_stored_answer.ts";
import type { KeySettlement } from "./key_settlement.ts";
import { keySettlementSchema } from "./key_settlement_schema.ts";
import { SettlementKind } from "./settlement_kind.ts";

/** Decodes the result of `settleKey`; returns undefined if it is invalid. */
export function decodeKeySettlement(
  message: unknown,
): KeySettlement | undefined {
  const { success, data } = keySettlementSchema.safeParse(message);
  if (!success) {
    return undefined;
  }
  return data.kind === SettlementKind.Finished
    ? {
      ...data,
      answer: data.answer === undefined
        ? undefined
        : decodeStoredAnswer(data.answer),
    }
    : data;
}
