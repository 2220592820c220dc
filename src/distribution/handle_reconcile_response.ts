import type * as z from "zod";
import { mergeRecords } from "../peers/merge_records.ts";
import { mergeSightings } from "../peers/merge_sightings.ts";
import type { DistributionContext } from "./distribution_context.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";
import type { reconcileResponseSchema } from "./reconcile_response_schema.ts";

/**
 * Merges the records and sightings that a comparison with a peer returned. The
 * peer finds its own gaps by its own comparisons.
 */
export function handleReconcileResponse(
  state: DistributionState,
  answer: z.infer<typeof reconcileResponseSchema>,
  context: DistributionContext,
): DistributionState {
  const { peers, exchange } = state;
  const { now } = context;
  const merged = mergeSightings(
    mergeRecords(peers, answer.records),
    answer.sightings,
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
      exchange: answer.hasMore
        ? {
          ...exchange,
          nextReconcileAt: now +
            distributionLimits.reconcileContinuationMilliseconds,
        }
        : exchange,
    },
    answer,
    context,
  );
}

/**
 * Lets a starting node query the peers that it has discovered at once. It does
 * not need the VM list of the platform for that, which many nodes that restart
 * together would read at the same time.
 */
function recordPeerDiscovery(
  state: DistributionState,
  answer: Pick<z.infer<typeof reconcileResponseSchema>, "hasMore">,
  { now, random }: DistributionContext,
): DistributionState {
  const { startup, platform } = state;
  if (startup.isComplete || startup.hasDiscoveredPeers) {
    return state;
  }
  return {
    ...state,
    startup: { ...startup, hasDiscoveredPeers: true, nextQueryAt: now },
    platform: answer.hasMore && !platform.isListing
      ? {
        ...platform,
        nextListAt: now +
          distributionLimits.largeFleetListDelayMilliseconds * random.next(),
      }
      : platform,
  };
}
