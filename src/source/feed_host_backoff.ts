/** The recent failures of a host whose feed this node may follow. */
export interface FeedHostBackoff {
  /** Consecutive failures since the last success. */
  readonly failures: number;
  /** End of the backoff, in milliseconds since the Unix epoch; the host is skipped until then. */
  readonly backoffUntil: number;
}
