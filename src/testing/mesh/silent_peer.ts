import type { Socket } from "node:net";
import type { OfferStatus } from "../../offers/offer_status.ts";

/** A peer that accepts connections and sends nothing but what a test sets. */
export interface SilentPeer {
  /** Identifier of the backend server that it is registered beside. */
  readonly identifier: string;
  /** Connections on which the offer of a call arrived. */
  readonly offers: readonly Socket[];
  /**
   * The status that it replies to a query for an offer; undefined means that it
   * sends nothing.
   */
  status: OfferStatus | undefined;
  /**
   * How long it states to have recorded offers, in milliseconds; undefined means
   * that it does not state it, as a node of an earlier version.
   */
  recordedMilliseconds: number | undefined;
  /** Answers the first offer as the node beside a backend server would. */
  answerFirstOffer(body: string): void;
  /** Closes the listener; open connections stay open. */
  stopListening(): void;
  close(): void;
}
