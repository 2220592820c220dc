/** Why a node calls a peer. */
export enum PeerCallPurpose {
  /** The startup query of a node. */
  StartupQuery = "startup-query",
  /** Confirms the view of a node that was paused. */
  Confirmation = "confirmation",
  /** A periodic exchange, or a comparison of all records. */
  AntiEntropy = "anti-entropy",
  /** Sends changes that should not wait for the next periodic exchange. */
  Push = "push",
  /** Reads the manifest or the parts of a version. */
  Pull = "pull",
  /** Requests the peer to store a version. */
  Replication = "replication",
}
