import type { KnownPeer } from "./known_peer.ts";

/** What is to change in the peer at an address. */
export type KnownPeerChange =
  & Pick<KnownPeer, "address">
  & Partial<KnownPeer>;
