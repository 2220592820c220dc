import { getHostScore } from "./get_host_score.ts";
import type { QuotaHosts } from "./quota_hosts.ts";

/**
 * Returns the owner of an organisation's quota and its deputy by rendezvous
 * hashing over `hosts`; undefined for those that there are too few hosts for.
 */
export function rankQuotaHosts(
  organisationName: string,
  hosts: readonly string[],
): QuotaHosts {
  const [owner, deputy] = hosts
    .map((host) => ({ host, score: getHostScore(organisationName, host) }))
    .sort((left, right) =>
      right.score - left.score || (left.host < right.host ? -1 : 1)
    );
  return { owner: owner?.host, deputy: deputy?.host };
}
