/** Timeouts of a listener towards its clients. */
export interface ListenerLimits {
  /** Timeout for the header of a request to arrive. */
  readonly headerMilliseconds: number;
  /** Timeout after which a connection without a request is closed. */
  readonly idleMilliseconds: number;
}
