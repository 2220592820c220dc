import { Outcome } from "../calls/outcome.ts";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { QuotaRole } from "../quotas/quota_role.ts";
import { recordRefusedCall } from "../quotas/record_refused_call.ts";
import type { CallResult } from "./call_result.ts";
import { CallResultKind } from "./call_result_kind.ts";
import type { MeshNode } from "./mesh_node.ts";
import type { QuotaHolder } from "./quota_holder.ts";

/**
 * Creates the refusal of a call that has no token. Only the owner knows that
 * the quota is used up; without it, another node may have a token.
 */
export function createQuotaRefusal(
  node: MeshNode,
  holder: QuotaHolder,
): CallResult {
  const { state } = holder;
  holder.refusedCalls += 1;
  return {
    kind: CallResultKind.Refused,
    reason: state.refusedBy === QuotaRole.Owner
      ? RefusalReason.QuotaExceeded
      : RefusalReason.QuotaUnconfirmed,
    outcome: Outcome.NotRun,
    retryMilliseconds: recordRefusedCall(state, {
      now: node.quotas.leaseClock.now(),
      random: node.random.next(),
    }),
  };
}
