import type { GranterState } from "./granter_state.ts";

const requestIntervalMilliseconds = 250;
/** Often, so that much of the lease is left when the owner's process ends. */
const renewIntervalMilliseconds = 500;

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
  const interval = leaseNow < leaseUntil
    ? renewIntervalMilliseconds
    : requestIntervalMilliseconds;
  return hosts.deputy === ownHost && now >= leaseRequestedAt + interval;
}
