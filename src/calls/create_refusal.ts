import type { Outcome } from "./outcome.ts";
import type { Refusal } from "./refusal.ts";
import type { RefusalReason } from "./refusal_reason.ts";
import { refusalTable } from "./refusal_table.ts";

/** Creates a refusal; `detail` and `retryAt` replace the defaults of the refusal table. */
export function createRefusal(
  reason: RefusalReason,
  outcome: Outcome,
  options: { readonly now: number; readonly retryAt?: number; detail?: string },
): Refusal {
  const definition = refusalTable[reason];
  return {
    outcome,
    reason,
    retryAt: options.retryAt ?? options.now + definition.retryMilliseconds,
    detail: options.detail ?? definition.detail,
  };
}
