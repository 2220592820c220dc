import type { ConfigurationPart } from "../configuration/configuration_part.ts";
import type { KnownPeer } from "../peers/known_peer.ts";
import { PeerCallPurpose } from "./peer_call_purpose.ts";
import type { Candidate } from "./candidate.ts";
import { createPeerCallEffect } from "./create_peer_call_effect.ts";
import type { DistributionEffect } from "./distribution_effect.ts";
import { DistributionMethod } from "./distribution_method.ts";
import type { DistributionState } from "./distribution_state.ts";

/** Returns the effect that requests a peer to store the candidate. */
export function createStoreEffect(
  state: DistributionState,
  call: {
    readonly peer: Pick<KnownPeer, "address" | "failures">;
    readonly candidate: Candidate;
    readonly parts: readonly ConfigurationPart[];
    readonly now: number;
  },
): DistributionEffect {
  return createPeerCallEffect(call.peer, {
    purpose: PeerCallPurpose.Replication,
    request: {
      method: DistributionMethod.StoreVersion,
      parameters: {
        vm: state.peers.own.vm,
        manifest: call.candidate.compiled.set.manifest,
        parts: call.parts,
      },
    },
    now: call.now,
  });
}
