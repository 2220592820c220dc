/** What a fake backend server has counted itself. */
export interface FakeBackendServerCounts {
  readonly answered: number;
  /** Calls that it did not begin to run, for want of a slot that it could bear. */
  readonly shed: number;
  /** Connections that it refused while it was down. */
  readonly refused: number;
  /** How often it fell over. */
  readonly falls: number;
  /** The most calls that it ran at once. */
  readonly peakRunning: number;
}
