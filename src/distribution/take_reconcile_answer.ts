import type * as z from "zod";
import { mergeRecords } from "../peers/merge_records.ts";
import { mergeSightings } from "../peers/merge_sightings.ts";
import type { DistributionContext } from "./distribution_context.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";
import type { reconcileAnswerSchema } from "./reconcile_answer_schema.ts";

/** Takes over what a comparison with a peer brought. The peer finds its own gaps by its own comparisons. */
export function takeReconcileAnswer(
  state: DistributionState,
  answer: z.infer<typeof reconcileAnswerSchema>,
  context: DistributionContext,
): DistributionState {
  const { peers, exchange } = state;
  const { now } = context;
  const merged = mergeSightings(
    mergeRecords(peers, answer.records),
    answer.sightings,
  );
  return noteLearntPeers(
    {
      ...state,
      // What a comparison brings is known to most nodes, so it is not passed on.
      peers: {
        ...merged,
        recordSends: peers.recordSends,
        sightingSends: peers.sightingSends,
      },
      exchange: answer.hasMore
        ? {
          ...exchange,
          nextReconcileAt: now + distributionLimits.reconcileMoreMilliseconds,
        }
        : exchange,
    },
    answer,
    context,
  );
}

/**
 * A starting node that has learnt of its peers asks them at once. It does not
 * need the platform's list for that, which a herd would read all together.
 */
function noteLearntPeers(
  state: DistributionState,
  answer: Pick<z.infer<typeof reconcileAnswerSchema>, "hasMore">,
  { now, random }: DistributionContext,
): DistributionState {
  const { startup, platform } = state;
  if (startup.decided || startup.learntPeers) {
    return state;
  }
  return {
    ...state,
    startup: { ...startup, learntPeers: true, nextWaveAt: now },
    platform: answer.hasMore && !platform.isListing
      ? {
        ...platform,
        nextListAt: now +
          distributionLimits.largeFleetListMilliseconds * random.next(),
      }
      : platform,
  };
}
