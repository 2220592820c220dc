/** The counters of a fake backend server. */
export interface FakeBackendServerCounts {
  /** The number of calls that it answered. */
  readonly answered: number;
  /** The number of calls that it did not run because its capacity was reached. */
  readonly shed: number;
  /** The number of connections that it refused while it was down. */
  readonly refused: number;
  /** The number of crashes caused by shed calls in cold start. */
  readonly falls: number;
  /** The maximum number of concurrent calls. */
  readonly peakRunning: number;
}
