/** What a node may grant of the tokens of one organisation. */
export enum QuotaRole {
  /** Owner for so long that no other node can still grant as owner. */
  Owner = "owner",
  /** Owner for a short time, or deputy: the reduced rate. */
  Reduced = "reduced",
  /** Neither of them, or the view of this node is outdated. */
  None = "none",
}
