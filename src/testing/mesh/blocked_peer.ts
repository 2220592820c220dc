/** A peer on a VM that stops accepting connections once it has an offer. */
export interface BlockedPeer {
  /** Resolves when an offer has arrived and no more connections are accepted. */
  readonly offered: Promise<void>;
  /** Lets it run again: it answers the offer with the body `cake`. */
  resume(): void;
  close(): Promise<void>;
}
