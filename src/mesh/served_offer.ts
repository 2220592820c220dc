/** An offer in progress on an offer connection of another node. */
export interface ServedOffer {
  /** The other node has given it up, or the connection has ended. */
  cancel(): void;
  /** The other node has used bytes of the answer. */
  addCredit(bytes: number): void;
}
