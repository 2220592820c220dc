import { createRefusal } from "./create_refusal.ts";
import { ForwardedHeader } from "./forwarded_header.ts";
import type { NodeRefusal } from "./node_refusal.ts";
import { Outcome } from "./outcome.ts";
import { RefusalReason } from "./refusal_reason.ts";

const reasons: ReadonlySet<string> = new Set(Object.values(RefusalReason));

/** Decodes a refusal of another node from response headers; returns undefined if it is invalid. */
export function decodeNodeRefusal(
  headers: Readonly<Record<string, string | string[] | undefined>>,
  now: number,
): NodeRefusal | undefined {
  const reason = headers[ForwardedHeader.Reason];
  const outcome = headers[ForwardedHeader.Outcome];
  const retryAt = Number(headers[ForwardedHeader.RetryAt]);
  if (
    typeof reason !== "string" || !reasons.has(reason) ||
    (outcome !== Outcome.NotRun && outcome !== Outcome.Unknown) ||
    !Number.isFinite(retryAt)
  ) {
    return undefined;
  }
  return {
    refusal: createRefusal(reason as RefusalReason, outcome, { now, retryAt }),
    keySettled: headers[ForwardedHeader.KeySettled] === "true",
  };
}
