import type { Outcome } from "./outcome.ts";
import type { RefusalReason } from "./refusal_reason.ts";

/** A final answer that the mesh gives itself. */
export interface Refusal {
  readonly outcome: Outcome;
  readonly reason: RefusalReason;
  /** The earliest sensible instant for another attempt, in milliseconds since the Unix epoch. */
  readonly retryAt: number;
  /** One sentence for people. */
  readonly detail: string;
}
