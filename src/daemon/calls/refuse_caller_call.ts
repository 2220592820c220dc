import type { ServerResponse } from "node:http";
import { Outcome } from "../../calls/outcome.ts";
import type { Refusal } from "../../calls/refusal.ts";
import type { CallPriority } from "../../configuration/call_priority.ts";
import type { CallsNode } from "./calls_node.ts";
import { observeCall } from "./observe_call.ts";
import { writeRefusal } from "./write_refusal.ts";

/** Refuses a caller's request, and counts the refusal. */
export function refuseCallerCall(
  node: CallsNode,
  response: ServerResponse,
  end: {
    readonly service: string;
    readonly priority: CallPriority;
    /** In milliseconds since the Unix epoch. */
    readonly receivedAt: number;
    readonly refusal: Refusal;
    /** Whether the connection cannot be used again, because the request was not read to its end. */
    readonly unread?: boolean;
  },
): void {
  const { counters } = node;
  const { outcome, reason } = end.refusal;
  if (outcome === Outcome.NotRun) {
    counters.refusedNotRun += 1;
  } else {
    counters.refusedUnknown += 1;
  }
  counters.refusalsByReason.set(
    reason,
    (counters.refusalsByReason.get(reason) ?? 0) + 1,
  );
  writeRefusal(response, end.refusal, {
    now: node.options.environment.clock.now(),
    close: node.draining || end.unread === true,
  });
  observeCall(node, { ...end, result: reason });
}
