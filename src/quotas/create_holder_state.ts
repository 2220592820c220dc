import type { HolderState } from "./holder_state.ts";
import { QuotaRole } from "./quota_role.ts";

/** Creates the state of a node that holds no token of an organisation. */
export function createHolderState(now: number): HolderState {
  return {
    held: [],
    callsPerSecond: 0,
    countedCalls: 0,
    countedSince: now,
    refusedUntil: Number.NEGATIVE_INFINITY,
    refreshAt: Number.NEGATIVE_INFINITY,
    refusedBy: QuotaRole.None,
    refusedMilliseconds: 0,
    refusedCalls: 0,
    ownerRetryAt: Number.NEGATIVE_INFINITY,
    ownerFailures: 0,
  };
}
