import type { GranterState } from "./granter_state.ts";

/** A lease ends on the deputy's clock well before the owner counts on it. */
const leaseShare = 0.8;

/** Lets a deputy grant as owner, with an empty bucket unless it did already. */
export function startLease(
  state: GranterState,
  options: {
    /** Lease instant at which the lease was requested. */
    readonly requestedAt: number;
    /** The present lease instant. */
    readonly leaseNow: number;
    readonly handoverMilliseconds: number;
    readonly now: number;
  },
): void {
  const { requestedAt, leaseNow, handoverMilliseconds, now } = options;
  if (leaseNow >= state.leaseUntil) {
    state.bucket.tokens = 0;
    state.bucket.refilledAt = now;
  }
  state.leaseUntil = requestedAt + leaseShare * handoverMilliseconds;
}
