/** The kind of a frame on an offer connection. The values are sent. */
export enum FrameKind {
  /** Offers a call: the head as JSON, then the body of its request. */
  Offer = 1,
  /** The offering node gives up an offer. */
  Cancel = 2,
  /** The offering node has used as many bytes of an answer as the payload states. */
  Credit = 3,
  /** The offer has arrived, but has no reply yet. */
  Confirmation = 4,
  /** The head of the reply, as JSON. */
  Reply = 5,
  /** A part of the answer's body. */
  Data = 6,
  /** The answer is complete. */
  End = 7,
  /** The answer broke off, the offer was not valid, or it was given up. */
  Break = 8,
  /** The node is stopping: no further offers are to be sent on this connection. */
  Stop = 9,
}
