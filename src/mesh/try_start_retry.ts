import { CallKind } from "../routing/call_kind.ts";
import { CallEventKind } from "./call_event_kind.ts";
import type { CallProgress } from "./call_progress.ts";
import type { MeshNode } from "./mesh_node.ts";
import { trySpendRetryBudget } from "./try_spend_retry_budget.ts";

/**
 * Starts a retry of a call that has reached a backend server; returns false if
 * no retry is allowed. A non-idempotent call is retried only if the backend
 * server stated that it has not run the call and never will.
 */
export function tryStartRetry(node: MeshNode, progress: CallProgress): boolean {
  const { route, service, signal, callIdentifier } = progress.plan;
  const isSafe = route.kind === CallKind.Idempotent ||
    !progress.mayHaveRun;
  if (!isSafe || progress.attempts >= route.attemptsMaximum) return false;
  if (signal.aborted) return false;
  if (!trySpendRetryBudget(node, service)) return false;
  node.report.call({
    kind: CallEventKind.Retried,
    call: callIdentifier,
    route: route.name,
    service,
    attempts: progress.attempts,
  });
  return true;
}
