import type { RandomSource } from "../runtime/random_source.ts";
import type { KnownPeer } from "./known_peer.ts";
import type { PeersState } from "./peers_state.ts";
import { shuffle } from "./shuffle.ts";

/**
 * Returns peers chosen at random: up to `ownZone` in this node's zone and up to
 * `otherZones` in other zones, which include unknown ones. If one of the two
 * groups has too few peers, more of the other are returned. Peers that are
 * being avoided are returned only if all peers are, so that a node whose peers
 * have all failed still calls some.
 */
export function choosePeers(
  state: PeersState,
  options: {
    readonly ownZone: number;
    readonly otherZones: number;
    readonly now: number;
    readonly random: RandomSource;
    /** Addresses of peers that are not to be chosen. */
    readonly except?: ReadonlySet<string>;
  },
): readonly KnownPeer[] {
  const candidates = [...state.known]
    .filter(([key]) => !options.except?.has(key))
    .map(([, peer]) => peer);
  const shuffled = shuffle(candidates, options.random);
  const available = shuffled.filter((peer) => peer.avoidUntil <= options.now);
  const ordered = available.length > 0 ? available : shuffled
    .toSorted((left, right) => left.avoidUntil - right.avoidUntil);
  const ownZonePeers = ordered.filter((peer) => peer.zone === state.own.zone);
  const otherZonePeers = ordered.filter((peer) => peer.zone !== state.own.zone);
  const total = options.ownZone + options.otherZones;
  const ownZoneCount = Math.min(
    ownZonePeers.length,
    Math.max(options.ownZone, total - otherZonePeers.length),
  );
  return [
    ...ownZonePeers.slice(0, ownZoneCount),
    ...otherZonePeers.slice(0, total - ownZoneCount),
  ];
}
