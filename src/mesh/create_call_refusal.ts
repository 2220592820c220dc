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
  const { plan } = run;
  const now = node.clock.now();
  const reason = now >= plan.deadline
    ? RefusalReason.DeadlinePassed
    : getReason(node, run);
  const waits = listCandidates(node, plan.service)
    .filter(({ view }) => view.fullUntil > now)
    .map(({ view }) => view.waitMilliseconds)
    .concat(...run.waits.values());
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
function getReason(node: MeshNode, run: CallRun): RefusalReason {
  if (run.mayHaveRun) return run.lastReason ?? RefusalReason.ContactLost;
  const now = node.clock.now();
  const candidates = listCandidates(node, run.plan.service);
  const isFull = run.waits.size > 0 ||
    candidates.some(({ view }) => view.fullUntil > now);
  if (isFull && run.lastReason !== RefusalReason.ColdStart) {
    return RefusalReason.Full;
  }
  return run.lastReason ?? RefusalReason.NoBackendServer;
}
