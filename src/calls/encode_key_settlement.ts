import type * as z from "zod";
import { encodeStoredAnswer } from "./encode_stored_answer.ts";
import type { KeySettlement } from "./key_settlement.ts";
import type { keySettlementSchema } from "./key_settlement_schema.ts";
import { SettlementKind } from "./settlement_kind.ts";

/** Encodes the settlement of a key as the result of `settleKey`. */
export function encodeKeySettlement(
  settlement: KeySettlement,
): z.infer<typeof keySettlementSchema> {
  if (settlement.kind === SettlementKind.NotRun) {
    return { ...settlement, fencers: [...settlement.fencers] };
  }
  if (settlement.kind !== SettlementKind.Finished) {
    return settlement;
  }
  const { kind, fingerprint, answer } = settlement;
  return answer === undefined
    ? { kind, fingerprint }
    : { kind, fingerprint, answer: encodeStoredAnswer(answer) };
}
