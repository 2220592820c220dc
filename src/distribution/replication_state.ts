/** The replication of a version that this node read from the platform. */
export interface ReplicationState {
  /** Addresses of the peers that were requested to store the version. */
  readonly requested: ReadonlySet<string>;
  /** Addresses of the peers that store it. */
  readonly stored: ReadonlySet<string>;
}
