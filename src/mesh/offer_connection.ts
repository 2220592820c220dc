import type { OfferReceiver } from "./offer_receiver.ts";

/** A connection to another node that carries many offers at a time. */
export interface OfferConnection {
  /**
   * Whether the connection takes a further offer. It does not if the other node
   * is stopping, if too many offers are in progress, or if nothing has arrived
   * for longer than a node takes to confirm an offer.
   */
  canSend(now: number): boolean;
  /** Sends an offer and returns its number. */
  send(payload: readonly Buffer[], options: {
    readonly receiver: OfferReceiver;
    /** In milliseconds since the Unix epoch. */
    readonly now: number;
  }): number;
  /** Gives up an offer; returns whether it may have been received. */
  cancel(offer: number): boolean;
  /** Lets the other node send further bytes of an answer. */
  addCredit(offer: number, bytes: number): void;
  /** Sends no further offers, and closes the connection after those in progress. */
  retire(): void;
  /** Closes the connection at once; the offers in progress are broken off. */
  close(): void;
}
