import type { Organisation } from "../../organisations/organisation.ts";
import { createHolderState } from "../../quotas/create_holder_state.ts";
import { createRandomSource } from "../../runtime/create_random_source.ts";
import type { QuotaFleet, QuotaFleetNode } from "./quota_fleet.ts";

/** Creates nodes of which the first `hosts` are listed; the others may be added. */
export function createQuotaFleet(
  organisation: Organisation,
  options: {
    readonly nodes: number;
    readonly hosts: number;
    readonly seed: number;
  },
): QuotaFleet {
  const random = createRandomSource(options.seed);
  const nodes = Array.from(
    { length: options.nodes },
    (_, index) =>
      createNode(`host-${index}`, { isListed: index < options.hosts }),
  );
  const hosts = nodes.slice(0, options.hosts).map(({ host }) => host);
  return {
    now: 0,
    nodes,
    versions: [{ since: Number.NEGATIVE_INFINITY, hosts, organisation }],
    notRunShare: 0,
    replyMilliseconds: 5,
    random: () => random.next(),
    runs: [],
    refusals: [],
    messages: 0,
  };
}

function createNode(
  host: string,
  { isListed }: { readonly isListed: boolean },
): QuotaFleetNode {
  return {
    host,
    startsAt: isListed ? 0 : Number.POSITIVE_INFINITY,
    stopsAt: Number.POSITIVE_INFINITY,
    newUntil: Number.NEGATIVE_INFINITY,
    suspendedUntil: 0,
    suspendedMilliseconds: 0,
    side: 0,
    isSourceReachable: true,
    lagMilliseconds: 0,
    version: undefined,
    confirmedAt: Number.NEGATIVE_INFINITY,
    granter: undefined,
    holder: createHolderState(0),
    pending: undefined,
    waitingCalls: 0,
  };
}
