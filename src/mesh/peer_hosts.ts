/** The hosts of the other nodes that this one knows, by what they stand beside. */
export interface PeerHosts {
  /** Beside backend servers of the service of this VM. */
  readonly ownService: readonly string[];
  readonly otherServices: readonly string[];
}
