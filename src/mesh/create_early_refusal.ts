import { Outcome } from "../calls/outcome.ts";
import type { RefusalReason } from "../calls/refusal_reason.ts";
import { refusalTable } from "../calls/refusal_table.ts";
import type { CallResult } from "./call_result.ts";
import { CallResultKind } from "./call_result_kind.ts";

/**
 * Share of the retry delay in `refusalTable` that applies if a node refuses a
 * call at once.
 */
const retryShare = 0.5;

/** Creates the refusal of a call that was offered to no backend server. */
export function createEarlyRefusal(
  reason: RefusalReason,
): Extract<CallResult, { readonly kind: CallResultKind.Refused }> {
  return {
    kind: CallResultKind.Refused,
    reason,
    outcome: Outcome.NotRun,
    retryMilliseconds: refusalTable[reason].retryMilliseconds * retryShare,
  };
}
