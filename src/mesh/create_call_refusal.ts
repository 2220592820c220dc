import { isFullReason } from "../balancing/is_full_reason.ts";
import { Outcome } from "../calls/outcome.ts";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { refusalTable } from "../calls/refusal_table.ts";
import type { CallProgress } from "./call_progress.ts";
import type { CallResult } from "./call_result.ts";
import { CallResultKind } from "./call_result_kind.ts";
import { listCandidates } from "./list_candidates.ts";
import type { MeshNode } from "./mesh_node.ts";
import { promiseRetryInstant } from "./promise_retry_instant.ts";

const retryMillisecondsMinimum = 50;
/**
 * Spreads the retry times of callers that are refused together over this share
 * of the wait.
 */
const spreadShare = 0.5;

/**
 * Creates the refusal of a call that no backend server answered. Its outcome is
 * "not-run" only if every backend server that received the request stated so.
 */
export function createCallRefusal(
  node: MeshNode,
  progress: CallProgress,
  options: {
    /** The shortest wait for a slot that other calls found; undefined if none is known. */
    readonly waitMilliseconds?: number;
  } = {},
): CallResult {
  const now = node.clock.now();
  const waits = listCandidates(node, progress.plan.service)
    .filter(({ view }) => view.fullUntil > now)
    .map(({ view }) => view.waitMilliseconds)
    .concat(...progress.reportedWaits.values())
    .concat(options.waitMilliseconds ?? []);
  const reason = now >= progress.plan.deadline
    ? RefusalReason.DeadlinePassed
    : getReason(progress, { isFull: waits.length > 0 });
  return {
    kind: CallResultKind.Refused,
    reason,
    outcome: progress.mayHaveRun ? Outcome.Unknown : Outcome.NotRun,
    retryMilliseconds: getRetryMilliseconds(),
  };

  function getRetryMilliseconds(): number {
    if (waits.length > 0 && isFullReason(reason)) {
      const earliest = now + Math.min(...waits);
      const retryAt = promiseRetryInstant(node, progress.plan, { earliest });
      return Math.max(retryMillisecondsMinimum, retryAt - now);
    }
    const wait = waits.length > 0
      ? Math.min(...waits)
      : refusalTable[reason].retryMilliseconds / 2;
    const spread = 1 + node.random.next() * spreadShare;
    return Math.max(retryMillisecondsMinimum, wait) * spread;
  }
}

/**
 * Prefers the reason of an open, full gate to that of a closed gate, since it
 * is more specific to the call.
 */
function getReason(
  call: CallProgress,
  { isFull }: { readonly isFull: boolean },
): RefusalReason {
  if (call.mayHaveRun) return call.lastReason ?? RefusalReason.ContactLost;
  const reason = call.lastReason ?? RefusalReason.NoBackendServer;
  return isFull && !isFullReason(reason) ? RefusalReason.Full : reason;
}
