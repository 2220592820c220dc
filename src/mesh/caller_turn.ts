/** The place of a caller's request among the requests of its connection. */
export interface CallerTurn {
  /** Cancels the call; aborted when its response cannot reach the caller. */
  readonly cancellation: AbortController;
  /** Whether the connection has ended, or ends with an earlier response. */
  isUnanswerable(): boolean;
  /** Whether requests that were sent behind this one are in work. */
  hasRequestsBehind(): boolean;
  /** Begins no further request, since the response ends the connection. */
  endConnection(): void;
}
