import { compareVersions } from "../configuration/compare_versions.ts";
import { isNewerVersion } from "../configuration/is_newer_version.ts";
import type { Version } from "../configuration/version.ts";
import type { KnownPeer } from "../peers/known_peer.ts";
import { shuffle } from "../peers/shuffle.ts";
import { PeerCallPurpose } from "./peer_call_purpose.ts";
import { createPeerCallEffect } from "./create_peer_call_effect.ts";
import type { DistributionContext } from "./distribution_context.ts";
import { DistributionMethod } from "./distribution_method.ts";
import type { DistributionState } from "./distribution_state.ts";
import { getHighestStoredVersion } from "./get_highest_stored_version.ts";
import { createTransition } from "./create_transition.ts";
import type { Transition } from "./transition.ts";

/**
 * Starts to pull the highest version that a peer stores and this node lacks,
 * unless a pull is outstanding.
 */
export function startPull(
  state: DistributionState,
  { now, random }: DistributionContext,
): Transition {
  const peer = state.pull === undefined && !state.stopping
    ? choosePullPeer(state, { now, random })
    : undefined;
  return peer === undefined ? createTransition(state) : {
    state: { ...state, pull: { address: peer.address, manifest: undefined } },
    effects: [createPeerCallEffect(peer, {
      purpose: PeerCallPurpose.Pull,
      request: { method: DistributionMethod.ReadManifest },
      now,
    })],
  };
}

/**
 * Returns a peer that stores the highest version, if possible in this node's
 * zone.
 */
function choosePullPeer(
  state: DistributionState,
  { now, random }: Pick<DistributionContext, "now" | "random">,
): KnownPeer | undefined {
  const { peers, versions } = state;
  const storedVersion = getHighestStoredVersion(versions);
  const eligiblePeers = [...peers.known.values()].filter((peer) =>
    peer.avoidUntil <= now && isNewerVersion(peer.heldVersion, storedVersion) &&
    !versions.refusedDigests.includes(peer.heldVersion?.digest ?? "")
  );
  if (eligiblePeers.length === 0) {
    return undefined;
  }
  const highest = eligiblePeers
    .flatMap(({ heldVersion }) => heldVersion ?? [])
    .reduce((left, right) => compareVersions(left, right) >= 0 ? left : right);
  const isHighest = (version: Version | undefined) =>
    version?.digest === highest.digest;
  const highestPeers = shuffle(
    eligiblePeers.filter(({ heldVersion }) => isHighest(heldVersion)),
    random,
  );
  return highestPeers.find(({ zone }) => zone === peers.own.zone) ??
    highestPeers[0];
}
