import type { HeldTokens } from "./held_tokens.ts";
import type { QuotaRole } from "./quota_role.ts";

/**
 * The tokens of one organisation that a node holds for its callers' calls.
 * Mutable; instants are those of the lease clock, in milliseconds.
 */
export interface HolderState {
  /** In the order in which they expire. */
  held: HeldTokens[];
  /** Moving average of the calls a second. */
  callsPerSecond: number;
  /** Calls since `countedSince`. */
  countedCalls: number;
  countedSince: number;
  /** Until when calls are refused without another request. */
  refusedUntil: number;
  /** From when tokens may be requested ahead of calls again after none were granted. */
  refreshAt: number;
  /** The role of the node that had no token, `None` if no node granted any. */
  refusedBy: QuotaRole;
  /** Time from the last refusing reply to `refusedUntil`, in milliseconds. */
  refusedMilliseconds: number;
  /** Calls refused since that reply. */
  refusedCalls: number;
  /** From when the owner is asked again after it did not reply. */
  ownerRetryAt: number;
  /** Requests in succession that the owner did not reply to. */
  ownerFailures: number;
}
