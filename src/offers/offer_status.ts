/** The status of an offered call at the node that it was offered to. */
export enum OfferStatus {
  /** The offer arrived and has no reply yet. */
  Held = "held",
  /** The node has sent its reply, or the connection of the offer has ended. */
  Ended = "ended",
  /**
   * The offer has not arrived since the node started, and is refused if it
   * arrives later.
   */
  NotReceived = "not-received",
}
