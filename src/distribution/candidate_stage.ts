/** What a candidate waits for. */
export enum CandidateStage {
  /** The peers' answers to the question of a starting node. */
  AwaitingStartup = "awaiting-startup",
  /** Two peers that hold the version too. */
  Replicating = "replicating",
  /** What the version needs on this node, such as connection pools. */
  Preparing = "preparing",
}
