import { getAllRecords } from "../peers/get_all_records.ts";
import { groupRecords } from "../peers/group_records.ts";
import { hashRecords } from "../peers/hash_records.ts";
import { hashView } from "../peers/hash_view.ts";
import { hashSightings } from "../peers/hash_sightings.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";
import { PeerCallPurpose } from "./peer_call_purpose.ts";
import { createPeerCallEffect } from "./create_peer_call_effect.ts";
import type { DistributionContext } from "./distribution_context.ts";
import { distributionLimits } from "./distribution_limits.ts";
import { DistributionMethod } from "./distribution_method.ts";
import type { DistributionState } from "./distribution_state.ts";
import { createTransition } from "./create_transition.ts";
import type { Transition } from "./transition.ts";

/**
 * Starts a comparison of all records with a peer whose view hash differs,
 * unless one was started recently: hashes also differ while changes are still
 * being passed on.
 */
export function startReconcile(
  state: DistributionState,
  peer: {
    readonly address: NetworkAddress;
    readonly viewHash: number;
  },
  { now, random }: DistributionContext,
): Transition {
  const { peers, exchange } = state;
  if (now < exchange.nextReconcileAt || hashView(peers) === peer.viewHash) {
    return createTransition(state);
  }
  return {
    state: {
      ...state,
      exchange: {
        ...exchange,
        nextReconcileAt: now +
          distributionLimits.reconcileIntervalMilliseconds *
            (0.5 + random.next()),
      },
    },
    effects: [createPeerCallEffect({ address: peer.address, failures: 0 }, {
      purpose: PeerCallPurpose.AntiEntropy,
      request: {
        method: DistributionMethod.Reconcile,
        parameters: {
          buckets: groupRecords(
            getAllRecords(peers),
            distributionLimits.reconcileBuckets,
          ).map(hashRecords),
          sightingsHash: hashSightings([...peers.sightings.values()]),
        },
      },
      now,
    })],
  };
}
