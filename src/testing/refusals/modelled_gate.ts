import type { OfferOutcome } from "../../mesh/offer_outcome.ts";

/** A modelled node beside the backend server. */
export interface ModelledGate {
  receiveOffer(
    offerIdentifier: string,
    reply: (outcome: OfferOutcome) => void,
  ): void;
  /** The offer was cancelled, or its connection has ended. */
  receiveCancellation(offerIdentifier: string): void;
  receiveWithdrawal(offerIdentifier: string): void;
  /** Whether another call occupies the slot. */
  isOccupied(): boolean;
  /** The other call ends. */
  freeSlot(): void;
  /** The process ends and another one starts, which knows nothing of the one before. */
  restart(): void;
}
