import type { Refusal } from "./refusal.ts";
import { refusalTable } from "./refusal_table.ts";

/** Returns the RFC 9457 problem document of a refusal, as JSON text. */
export function createProblemDocument(refusal: Refusal): string {
  const { status, title } = refusalTable[refusal.reason];
  return JSON.stringify({
    type: "about:blank",
    title,
    status,
    detail: refusal.detail,
    outcome: refusal.outcome,
    reason: refusal.reason,
    retryAt: refusal.retryAt,
  });
}
