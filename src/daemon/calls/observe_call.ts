import type { CallPriority } from "../../configuration/call_priority.ts";
import type { CallsNode } from "./calls_node.ts";

/** Reports an ended call to the metrics. */
export function observeCall(
  node: CallsNode,
  endedCall: {
    readonly service: string;
    readonly priority: CallPriority;
    /** When the request was received, in milliseconds since the Unix epoch. */
    readonly receivedAt: number;
    readonly result: string;
  },
): void {
  const { service, priority, result } = endedCall;
  node.options.observe({
    service,
    priority,
    result,
    elapsedMilliseconds: node.options.environment.clock.now() -
      endedCall.receivedAt,
  });
}
