import type { ServerResponse } from "node:http";
import { Outcome } from "../../calls/outcome.ts";
import type { Refusal } from "../../calls/refusal.ts";
import type { CallPriority } from "../../configuration/call_priority.ts";
import type { CallsNode } from "./calls_node.ts";
import { observeCall } from "./observe_call.ts";
import { writeRefusal } from "./write_refusal.ts";

/** Refuses a caller's request and counts the refusal. */
export function refuseCallerCall(
  node: CallsNode,
  response: ServerResponse,
  endedCall: {
    readonly service: string;
    readonly priority: CallPriority;
    /** When the request was received, in milliseconds since the Unix epoch. */
    readonly receivedAt: number;
    readonly refusal: Refusal;
    /** Whether to close the connection, because the request was not read to its end. */
    readonly closeConnection?: boolean;
  },
): void {
  const { counters } = node;
  const { outcome, reason } = endedCall.refusal;
  if (outcome === Outcome.NotRun) {
    counters.refusedNotRun += 1;
  } else {
    counters.refusedUnknown += 1;
  }
  counters.refusalsByReason.set(
    reason,
    (counters.refusalsByReason.get(reason) ?? 0) + 1,
  );
  writeRefusal(response, endedCall.refusal, {
    now: node.options.environment.clock.now(),
    close: node.draining || endedCall.closeConnection === true,
  });
  observeCall(node, { ...endedCall, result: reason });
}
