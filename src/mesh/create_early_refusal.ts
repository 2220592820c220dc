import { Outcome } from "../calls/outcome.ts";
import type { RefusalReason } from "../calls/refusal_reason.ts";
import { refusalTable } from "../calls/refusal_table.ts";
import type { CallResult } from "./call_result.ts";
import { CallResultKind } from "./call_result_kind.ts";

/** Share of the table's time after which a caller may come back to a node that answers at once. */
const retryShare = 0.5;

/** Creates the refusal of a call that was offered to nobody. */
export function createEarlyRefusal(reason: RefusalReason): CallResult {
  return {
    kind: CallResultKind.Refused,
    reason,
    outcome: Outcome.NotRun,
    retryMilliseconds: refusalTable[reason].retryMilliseconds * retryShare,
  };
}
