import { choosePeers } from "../peers/choose_peers.ts";
import { formatAddress } from "../runtime/format_address.ts";
import type { Candidate } from "./candidate.ts";
import { createStoreEffect } from "./create_store_effect.ts";
import type { DistributionContext } from "./distribution_context.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";
import { findChangedParts } from "./find_changed_parts.ts";
import { createTransition } from "./create_transition.ts";
import type { Transition } from "./transition.ts";

/**
 * Sends the candidate to as many peers as are still required, half of them in
 * other zones.
 */
export function replicateCandidate(
  state: DistributionState,
  candidate: Candidate,
  { now, random }: DistributionContext,
): Transition {
  const { requested } = candidate.replication;
  const availableCount =
    [...requested].filter((key) =>
      (state.peers.known.get(key)?.avoidUntil ?? Infinity) <= now
    ).length;
  const missingCount = distributionLimits.replicas - availableCount;
  if (missingCount <= 0) {
    return createTransition(state);
  }
  const chosen = choosePeers(state.peers, {
    ownZone: Math.floor(missingCount / 2),
    otherZones: Math.ceil(missingCount / 2),
    now,
    random,
    except: requested,
  });
  const parts = findChangedParts(state, candidate);
  return {
    state: {
      ...state,
      versions: {
        ...state.versions,
        candidate: {
          ...candidate,
          replication: {
            ...candidate.replication,
            requested: new Set([
              ...requested,
              ...chosen.map(({ address }) => formatAddress(address)),
            ]),
          },
        },
      },
    },
    effects: chosen.map((peer) =>
      createStoreEffect(state, { peer, candidate, parts, now })
    ),
  };
}
