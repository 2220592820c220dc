import { Outcome } from "../calls/outcome.ts";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { refusalTable } from "../calls/refusal_table.ts";
import type { CallEnd } from "./call_end.ts";
import { CallEndKind } from "./call_end_kind.ts";
import type { CallRun } from "./call_run.ts";
import { listCandidates } from "./list_candidates.ts";
import type { MeshNode } from "./mesh_node.ts";

const retryMillisecondsMinimum = 50;
/** Callers that were refused together come back spread over this share of the wait. */
const spreadShare = 0.5;

/**
 * Creates the refusal of a call that no backend server answered. It says
 * "not run" only where every backend server that the request was sent to
 * stated so.
 */
export function createCallRefusal(
  node: MeshNode,
  run: CallRun,
): CallEnd {
  const now = node.clock.now();
  const waits = listCandidates(node, run.plan.service)
    .filter(({ view }) => view.fullUntil > now)
    .map(({ view }) => view.waitMilliseconds)
    .concat(...run.waits.values());
  const reason = now >= run.plan.deadline
    ? RefusalReason.DeadlinePassed
    : getReason(run, { isFull: waits.length > 0 });
  const wait = waits.length > 0
    ? Math.min(...waits)
    : refusalTable[reason].retryMilliseconds / 2;
  const spread = 1 + node.random.next() * spreadShare;
  return {
    kind: CallEndKind.Refused,
    reason,
    outcome: run.mayHaveRun ? Outcome.Unknown : Outcome.NotRun,
    retryMilliseconds: Math.max(retryMillisecondsMinimum, wait) * spread,
  };
}

/** A gate that is open and full says more about the call than one that is closed. */
function getReason(
  run: CallRun,
  { isFull }: { readonly isFull: boolean },
): RefusalReason {
  if (run.mayHaveRun) return run.lastReason ?? RefusalReason.ContactLost;
  if (isFull && run.lastReason !== RefusalReason.ColdStart) {
    return RefusalReason.Full;
  }
  return run.lastReason ?? RefusalReason.NoBackendServer;
}
