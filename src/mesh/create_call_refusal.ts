import { Outcome } from "../calls/outcome.ts";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { refusalTable } from "../calls/refusal_table.ts";
import type { CallEnd } from "./call_end.ts";
import { CallEndKind } from "./call_end_kind.ts";
import type { CallPlan } from "./call_plan.ts";
import type { CallRun } from "./call_run.ts";
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
  plan: CallPlan,
  run: CallRun,
): CallEnd {
  const isLate = node.clock.now() >= plan.deadline;
  const reason = isLate
    ? RefusalReason.DeadlinePassed
    : run.lastReason ?? RefusalReason.NoBackendServer;
  const waits = Array.from(run.waits.values());
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
