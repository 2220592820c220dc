import { CallKind } from "../routing/call_kind.ts";
import { CallEventKind } from "./call_event_kind.ts";
import type { CallRun } from "./call_run.ts";
import type { MeshNode } from "./mesh_node.ts";
import { trySpendCallRepeat } from "./try_spend_call_repeat.ts";

/**
 * Books one more send of a call that has reached a backend server, or returns
 * false. A non-idempotent call is sent again only after a statement that it
 * has not run and never will.
 */
export function tryRepeatCall(node: MeshNode, run: CallRun): boolean {
  const { route, service, signal, callIdentifier } = run.plan;
  const isSafe = route.kind === CallKind.Idempotent || !run.mayHaveRun;
  if (!isSafe || run.attempts >= route.attemptsMaximum) return false;
  if (signal.aborted) return false;
  if (!trySpendCallRepeat(node, service)) return false;
  node.report.call({
    kind: CallEventKind.Repeated,
    call: callIdentifier,
    route: route.name,
    service,
    attempts: run.attempts,
  });
  return true;
}
