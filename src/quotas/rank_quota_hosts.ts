import { getRendezvousScore } from "../calls/get_rendezvous_score.ts";
import type { QuotaHosts } from "./quota_hosts.ts";

interface ScoredHost {
  readonly host: string;
  readonly score: bigint;
}

/**
 * Returns the owner of an organisation's quota and its deputy by rendezvous
 * hashing over `hosts`; undefined for those that there are too few hosts for.
 */
export function rankQuotaHosts(
  organisationName: string,
  hosts: readonly string[],
): QuotaHosts {
  const [owner, deputy] = hosts
    .map((host): ScoredHost => ({
      host,
      score: getRendezvousScore(organisationName, host),
    }))
    .sort(compareScores);
  return { owner: owner?.host, deputy: deputy?.host };
}

function compareScores(left: ScoredHost, right: ScoredHost): number {
  if (left.score === right.score) return left.host < right.host ? -1 : 1;
  return left.score > right.score ? -1 : 1;
}
