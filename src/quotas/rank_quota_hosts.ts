import { getHostScore } from "./get_host_score.ts";
import type { QuotaHosts } from "./quota_hosts.ts";

/** Owner, deputy, and those that may have been the owner before. */
const rankedHostsMaximum = 5;

/**
 * Returns the owner and the deputy of an organisation's quota by rendezvous
 * hashing over `hosts`. Both are undefined if there is no host, the deputy if
 * there is only one.
 */
export function rankQuotaHosts(
  organisationName: string,
  hosts: readonly string[],
): QuotaHosts {
  const ranking = hosts
    .map((host) => ({ host, score: getHostScore(organisationName, host) }))
    .sort((left, right) =>
      right.score - left.score || (left.host < right.host ? -1 : 1)
    )
    .slice(0, rankedHostsMaximum)
    .map(({ host }) => host);
  const [owner, deputy] = ranking;
  return { owner, deputy, ranking };
}
