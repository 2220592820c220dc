import type { GranterState } from "./granter_state.ts";
import { QuotaRole } from "./quota_role.ts";

/** Returns what a node may grant of an organisation's tokens. */
export function getQuotaRole(
  { hosts, establishedAt }: GranterState,
  options: {
    readonly ownHost: string;
    /** Whether the node's view of register and rules is outdated. */
    readonly isOutdated: boolean;
    readonly now: number;
  },
): QuotaRole {
  const { ownHost, isOutdated, now } = options;
  if (isOutdated) return QuotaRole.None;
  if (hosts.owner === ownHost) {
    return now >= establishedAt ? QuotaRole.Owner : QuotaRole.Reduced;
  }
  return hosts.deputy === ownHost ? QuotaRole.Reduced : QuotaRole.None;
}
