import type { GranterState } from "./granter_state.ts";

/** Returns the host to ask for tokens that the owner does not grant. */
export function getSubstituteHost(
  { hosts, formerOwner }: GranterState,
  now: number,
): string | undefined {
  return formerOwner !== undefined && now < formerOwner.until
    ? formerOwner.host
    : hosts.deputy;
}
