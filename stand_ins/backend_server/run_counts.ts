/** How often each call started to run, under each identifier by which a test can find it. */
export interface RunCounts {
  /** By the call identifier that the mesh assigned. */
  readonly callIdentifiers: Record<string, number>;
  /** By call identifier, for calls whose method is not idempotent. */
  readonly nonIdempotentCallIdentifiers: Record<string, number>;
  /** By idempotency key. */
  readonly keys: Record<string, number>;
  /** By the query parameter `token`. */
  readonly tokens: Record<string, number>;
  /** Calls that started to run. */
  begun: number;
  /** Calls that were answered completely. */
  finished: number;
  /** Calls whose connection closed while they ran. */
  cancelled: number;
}
