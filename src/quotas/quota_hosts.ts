/** The hosts of the nodes that grant tokens of one organisation. */
export interface QuotaHosts {
  readonly owner: string | undefined;
  /** Grants at a reduced rate to nodes that the owner does not reply to. */
  readonly deputy: string | undefined;
  /** The hosts of the highest scores, from the owner and the deputy on. */
  readonly ranking: readonly string[];
}
