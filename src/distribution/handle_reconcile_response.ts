import type * as z from "zod";
import { mergeRecords } from "../peers/merge_records.ts";
import { mergeSightings } from "../peers/merge_sightings.ts";
import type { DistributionContext } from "./distribution_context.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";
import type { reconcileResponseSchema } from "./reconcile_response_schema.ts";

/**
 * Merges the records and sightings that a comparison with a peer returned.
 * Nothing is sent back: the peer obtains what it lacks by its own comparisons.
 */
export function handleReconcileResponse(
  state: DistributionState,
  response: z.infer<typeof reconcileResponseSchema>,
  context: DistributionContext,
): DistributionState {
  const { peers, exchange } = state;
  const { now } = context;
  const merged = mergeSightings(
    mergeRecords(peers, response.records),
    response.sightings,
  );
  return recordPeerDiscovery(
    {
      ...state,
      // Not passed on, since most nodes already store what a comparison returns.
      peers: {
        ...merged,
        remainingRecordSends: peers.remainingRecordSends,
        remainingSightingSends: peers.remainingSightingSends,
      },
      exchange: response.hasMore
        ? {
          ...exchange,
          nextReconcileAt: now +
            distributionLimits.reconcileContinuationMilliseconds,
        }
        : exchange,
    },
    response,
    context,
  );
}

/**
 * Schedules an immediate startup query to the peers that a starting node has
 * discovered. The query does not wait for the VM list of the platform, which
 * many nodes that restart together would read at the same time.
 */
function recordPeerDiscovery(
  state: DistributionState,
  response: Pick<z.infer<typeof reconcileResponseSchema>, "hasMore">,
  { now, random }: DistributionContext,
): DistributionState {
  const { startup, platform } = state;
  if (startup.isComplete || startup.hasDiscoveredPeers) {
    return state;
  }
  return {
    ...state,
    startup: { ...startup, hasDiscoveredPeers: true, nextQueryAt: now },
    platform: response.hasMore && !platform.isListing
      ? {
        ...platform,
        nextListAt: now +
          distributionLimits.largeFleetListDelayMilliseconds * random.next(),
      }
      : platform,
  };
}
