import { ForwardedHeader } from "./forwarded_header.ts";
import type { NodeRefusal } from "./node_refusal.ts";

/** Returns the headers, as names and values in turn, that carry a refusal between nodes. */
export function encodeNodeRefusal(answer: NodeRefusal): string[] {
  const { refusal } = answer;
  return [
    ForwardedHeader.Outcome,
    refusal.outcome,
    ForwardedHeader.Reason,
    refusal.reason,
    ForwardedHeader.RetryAt,
    String(Math.ceil(refusal.retryAt)),
    ForwardedHeader.KeySettled,
    String(answer.keySettled),
  ];
}
