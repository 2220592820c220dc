import { compareVersions } from "../configuration/compare_versions.ts";
import { isNewerVersion } from "../configuration/is_newer_version.ts";
import type { Version } from "../configuration/version.ts";
import type { KnownPeer } from "../peers/known_peer.ts";
import { shuffle } from "../peers/shuffle.ts";
import { CallPurpose } from "./call_purpose.ts";
import { createCallEffect } from "./create_call_effect.ts";
import type { DistributionContext } from "./distribution_context.ts";
import { DistributionMethod } from "./distribution_method.ts";
import type { DistributionState } from "./distribution_state.ts";
import { getHeldVersion } from "./get_held_version.ts";
import { stay } from "./stay.ts";
import type { Transition } from "./transition.ts";

/** Begins to pull the highest version that a peer holds and this node lacks, unless a pull is outstanding. */
export function startPull(
  state: DistributionState,
  { now, random }: DistributionContext,
): Transition {
  const peer = state.pull === undefined && !state.stopping
    ? chooseSource(state, { now, random })
    : undefined;
  return peer === undefined ? stay(state) : {
    state: { ...state, pull: { address: peer.address, manifest: undefined } },
    effects: [createCallEffect(peer, {
      purpose: CallPurpose.Pull,
      request: { method: DistributionMethod.ReadManifest },
      now,
    })],
  };
}

/** Prefers the highest version, and of the peers that hold it one in the node's own zone. */
function chooseSource(
  state: DistributionState,
  { now, random }: Pick<DistributionContext, "now" | "random">,
): KnownPeer | undefined {
  const { peers, versions } = state;
  const held = getHeldVersion(versions);
  const sources = [...peers.known.values()].filter((peer) =>
    peer.avoidUntil <= now && isNewerVersion(peer.heldVersion, held) &&
    !versions.refusedDigests.includes(peer.heldVersion?.digest ?? "")
  );
  if (sources.length === 0) {
    return undefined;
  }
  const highest = sources
    .flatMap(({ heldVersion }) => heldVersion ?? [])
    .reduce((left, right) => compareVersions(left, right) >= 0 ? left : right);
  const isHighest = (version: Version | undefined) =>
    version?.digest === highest.digest;
  const best = shuffle(
    sources.filter(({ heldVersion }) => isHighest(heldVersion)),
    random,
  );
  return best.find(({ zone }) => zone === peers.own.zone) ?? best[0];
}
