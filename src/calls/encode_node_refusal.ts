import { ForwardedHeader } from "./forwarded_header.ts";
import type { NodeRefusal } from "./node_refusal.ts";

/** Returns the headers that carry a refusal between nodes, as alternating names and values. */
export function encodeNodeRefusal(nodeRefusal: NodeRefusal): string[] {
  const { refusal } = nodeRefusal;
  return [
    ForwardedHeader.Outcome,
    refusal.outcome,
    ForwardedHeader.Reason,
    refusal.reason,
    ForwardedHeader.RetryAt,
    String(Math.ceil(refusal.retryAt)),
    ForwardedHeader.KeySettled,
    String(nodeRefusal.keySettled),
  ];
}
