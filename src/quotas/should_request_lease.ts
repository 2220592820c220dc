import type { GranterState } from "./granter_state.ts";

const requestIntervalMilliseconds = 250;
/** A lease is renewed while this much of it is left. */
const renewMilliseconds = 2_000;

/** Whether a deputy that is asked for tokens asks the owner for a lease now. */
export function shouldRequestLease(
  { hosts, leaseRequestedAt, leaseUntil }: GranterState,
  options: {
    readonly ownHost: string;
    readonly leaseNow: number;
    readonly now: number;
  },
): boolean {
  const { ownHost, leaseNow, now } = options;
  return hosts.deputy === ownHost &&
    now >= leaseRequestedAt + requestIntervalMilliseconds &&
    leaseUntil - leaseNow < renewMilliseconds;
}
