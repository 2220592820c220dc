/** The head of an offer on an offer connection. */
export interface RequestHead {
  /** The message of the offer, not yet validated. */
  readonly offer: unknown;
  readonly method: string;
  readonly url: string;
  /** Headers of the request as alternating names and values. */
  readonly headers: readonly string[];
}
