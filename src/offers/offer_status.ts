/** The status of an offered call at the node that it was offered to. */
export enum OfferStatus {
  /** The offer arrived and has no reply yet. */
  Held = "held",
  /** The node has sent its reply. */
  Replied = "replied",
  /**
   * The offer has not arrived since the node started, and will be refused if it
   * does.
   */
  Unknown = "unknown",
}
