import type { RefusalReason } from "../calls/refusal_reason.ts";
import type { CallEnd } from "./call_end.ts";

/** What a call has been through so far. Changed in place. */
export interface CallRun {
  /** Backend servers that the request was sent to. */
  attempts: number;
  /** Whether one of them may have run it without an answer. */
  mayHaveRun: boolean;
  /** Backend servers that are not asked again in this round, by identifier. */
  readonly asked: Set<string>;
  /** Expected waits in milliseconds that full gates told, by identifier. */
  readonly waits: Map<string, number>;
  lastReason: RefusalReason | undefined;
  /** A failure of a backend server, delivered where no repeat does better. */
  fallback: CallEnd | undefined;
  /** Whether calls may now wait for a slot, since none was free at once. */
  mayWait: boolean;
}
