import type { GranterState } from "./granter_state.ts";
import { QuotaRole } from "./quota_role.ts";

/** Returns what a node may grant of an organisation's tokens. */
export function getQuotaRole(
  { hosts, establishedAt, leaseUntil, releasableUntil }: GranterState,
  options: {
    readonly ownHost: string;
    /** Whether the node's view is outdated, or it stops. */
    readonly isPaused: boolean;
    readonly leaseNow: number;
    readonly now: number;
  },
): QuotaRole {
  const { ownHost, isPaused, leaseNow, now } = options;
  if (isPaused) return QuotaRole.None;
  if (leaseNow < releasableUntil) return QuotaRole.Owner;
  const isOwner = hosts.owner === ownHost;
  if (!isOwner && hosts.deputy !== ownHost) return QuotaRole.None;
  return leaseNow < leaseUntil || (isOwner && now >= establishedAt)
    ? QuotaRole.Owner
    : QuotaRole.Reduced;
}
