import { Outcome } from "../calls/outcome.ts";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { refusalTable } from "../calls/refusal_table.ts";
import type { CallEnd } from "./call_end.ts";
import { CallEndKind } from "./call_end_kind.ts";
import type { CallPlan } from "./call_plan.ts";
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
    : run.lastReason ?? getUnaskedReason(node, plan);
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

/** No candidate was asked: there is none, or all are known to be full. */
function getUnaskedReason(node: MeshNode, plan: CallPlan): RefusalReason {
  return listCandidates(node, plan.service).length === 0
    ? RefusalReason.NoBackendServer
    : RefusalReason.Full;
}
