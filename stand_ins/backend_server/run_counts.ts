/** How often each call was begun, by the ways a test can name it. */
export interface RunCounts {
  /** By call identifier of the mesh. */
  readonly callIdentifiers: Record<string, number>;
  /** By call identifier, of calls with a method that is not idempotent. */
  readonly nonIdempotentCallIdentifiers: Record<string, number>;
  /** By idempotency key. */
  readonly keys: Record<string, number>;
  /** By the token in the query. */
  readonly tokens: Record<string, number>;
  /** How many calls were begun, finished with a whole answer, and cancelled. */
  begun: number;
  finished: number;
  cancelled: number;
}
