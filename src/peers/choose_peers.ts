import type { RandomSource } from "../runtime/random_source.ts";
import type { KnownPeer } from "./known_peer.ts";
import type { PeersState } from "./peers_state.ts";
import { shuffle } from "./shuffle.ts";

/**
 * Chooses peers at random: up to `ownZone` in the node's own zone and up to
 * `otherZones` elsewhere, where a peer of unknown zone counts as elsewhere.
 * Room that one side cannot fill goes to the other. Peers that are being
 * avoided come last, so that a node whose peers have all failed still asks.
 */
export function choosePeers(
  state: PeersState,
  options: {
    readonly ownZone: number;
    readonly otherZones: number;
    readonly now: number;
    readonly random: RandomSource;
    /** Addresses not to choose. */
    readonly except?: ReadonlySet<string>;
  },
): readonly KnownPeer[] {
  const candidates = [...state.known]
    .filter(([key]) => !options.except?.has(key))
    .map(([, peer]) => peer);
  const shuffled = shuffle(candidates, options.random);
  const usable = shuffled.filter((peer) => peer.avoidUntil <= options.now);
  const ordered = usable.length > 0 ? usable : shuffled
    .toSorted((left, right) => left.avoidUntil - right.avoidUntil);
  const near = ordered.filter((peer) => peer.zone === state.own.zone);
  const far = ordered.filter((peer) => peer.zone !== state.own.zone);
  const total = options.ownZone + options.otherZones;
  const nearCount = Math.min(
    near.length,
    Math.max(options.ownZone, total - far.length),
  );
  return [
    ...near.slice(0, nearCount),
    ...far.slice(0, total - nearCount),
  ];
}
