import type { Outcome } from "./outcome.ts";
import type { RefusalReason } from "./refusal_reason.ts";

/** A final error response of the mesh to a call. */
export interface Refusal {
  readonly outcome: Outcome;
  readonly reason: RefusalReason;
  /** The earliest suggested instant for another attempt, in milliseconds since the Unix epoch. */
  readonly retryAt: number;
  /** A description for people, in one sentence. */
  readonly detail: string;
}
