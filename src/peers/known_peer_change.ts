import type { KnownPeer } from "./known_peer.ts";

/** The fields to change in the known peer at an address. */
export type KnownPeerChange =
  & Pick<KnownPeer, "address">
  & Partial<KnownPeer>;
