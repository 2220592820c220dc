/** How long a listener waits for its clients. */
export interface ListenerLimits {
  /** The time in which the head of a request must arrive. */
  readonly headerMilliseconds: number;
  /** How long a connection is kept without a request. */
  readonly idleMilliseconds: number;
}
