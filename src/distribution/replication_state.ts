/** Which peers hold a version that this node read from the platform. */
export interface ReplicationState {
  /** Addresses of the peers that were sent the version. */
  readonly asked: ReadonlySet<string>;
  /** Addresses of the peers that hold it. */
  readonly stored: ReadonlySet<string>;
}
