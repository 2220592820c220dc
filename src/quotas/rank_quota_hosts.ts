import { getHostScore } from "./get_host_score.ts";
import type { QuotaHosts } from "./quota_hosts.ts";

/** Owner, deputy, and those that may have been the owner before. */
const rankedHosts = 5;

/**
 * Returns the owner of an organisation's quota and its deputy by rendezvous
 * hashing over `hosts`; undefined for those that there are too few hosts for.
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
    .slice(0, rankedHosts)
    .map(({ host }) => host);
  const [owner, deputy] = ranking;
  return { owner, deputy, ranking };
}
