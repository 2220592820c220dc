import type { HeldTokens } from "./held_tokens.ts";

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
  /** Until when the granter said that it has no token for this node. */
  refusedUntil: number;
  /** From when the owner is asked again after it did not reply. */
  ownerRetryAt: number;
  /** Requests in succession that the owner did not reply to. */
  ownerFailures: number;
}
