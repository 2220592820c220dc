/** What a script lets happen to one message between nodes. */
export interface ControlDelivery {
  readonly isLost: boolean;
  /** How long the message is under way, in milliseconds. */
  readonly delayMilliseconds: number;
  /** How often a request arrives; its first answer counts. */
  readonly copies: number;
  /** What arrives in place of the content that was sent; undefined for the content itself. */
  readonly content: unknown;
}
