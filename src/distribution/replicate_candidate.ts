import { choosePeers } from "../peers/choose_peers.ts";
import { formatAddress } from "../runtime/format_address.ts";
import type { Candidate } from "./candidate.ts";
import { createStoreCall } from "./create_store_call.ts";
import type { DistributionContext } from "./distribution_context.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";
import { findChangedParts } from "./find_changed_parts.ts";
import { stay } from "./stay.ts";
import type { Transition } from "./transition.ts";

/** Sends the candidate to as many peers as are still needed, half of them in other zones. */
export function replicateCandidate(
  state: DistributionState,
  candidate: Candidate,
  { now, random }: DistributionContext,
): Transition {
  const { asked } = candidate.replication;
  const outstanding =
    [...asked].filter((key) =>
      (state.peers.known.get(key)?.avoidUntil ?? Infinity) <= now
    ).length;
  const wanted = distributionLimits.replicas - outstanding;
  if (wanted <= 0) {
    return stay(state);
  }
  const chosen = choosePeers(state.peers, {
    ownZone: Math.floor(wanted / 2),
    otherZones: Math.ceil(wanted / 2),
    now,
    random,
    except: asked,
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
            asked: new Set([
              ...asked,
              ...chosen.map(({ address }) => formatAddress(address)),
            ]),
          },
        },
      },
    },
    effects: chosen.map((peer) =>
      createStoreCall(state, { peer, candidate, parts, now })
    ),
  };
}
