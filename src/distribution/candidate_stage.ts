/** The condition that a candidate waits for. */
export enum CandidateStage {
  /** The startup query is complete. */
  AwaitingStartup = "awaiting-startup",
  /** Two peers store the version too. */
  Replicating = "replicating",
  /**
   * The resources that the version needs on this node, such as connection
   * pools, are created.
   */
  Preparing = "preparing",
}
