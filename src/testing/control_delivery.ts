/** How the network delivers one message between nodes. */
export interface ControlDelivery {
  readonly isLost: boolean;
  /** Time between sending and arrival, in milliseconds. */
  readonly delayMilliseconds: number;
  /** How many times the message arrives; only the first response to a request counts. */
  readonly copies: number;
  /** Content that arrives in place of the sent one; undefined for the sent content. */
  readonly content: unknown;
}
