/** A running node. */
export interface MeshDaemon {
  /** Stops gracefully; resolves with the number of calls that were cut. */
  stop(): Promise<number>;
}
