import type { CallPriority } from "../../configuration/call_priority.ts";
import type { CallsNode } from "./calls_node.ts";

/** Hands the observation of an ended call to the metrics. */
export function observeCall(
  node: CallsNode,
  end: {
    readonly service: string;
    readonly priority: CallPriority;
    /** In milliseconds since the Unix epoch. */
    readonly receivedAt: number;
    readonly result: string;
  },
): void {
  const { service, priority, result } = end;
  node.options.observe({
    service,
    priority,
    result,
    elapsedMilliseconds: node.options.environment.clock.now() - end.receivedAt,
  });
}
