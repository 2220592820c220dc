import type { z } from "zod";
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
  { now }: DistributionContext,
): DistributionState {
  const { peers, exchange } = state;
  const merged = mergeSightings(
    mergeRecords(peers, answer.records),
    answer.sightings,
  );
  return {
    ...state,
    // What a comparison brings is known to most nodes, so it is not passed on.
    peers: {
      ...merged,
      recordSends: peers.recordSends,
      sightingSends: peers.sightingSends,
    },
    startup: state.startup.decided || state.startup.learntPeers
      ? state.startup
      : { ...state.startup, learntPeers: true, nextWaveAt: now },
    exchange: answer.hasMore
      ? {
        ...exchange,
        nextReconcileAt: now + distributionLimits.reconcileMoreMilliseconds,
      }
      : exchange,
  };
}
