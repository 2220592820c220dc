/** Why a node calls a peer. */
export enum CallPurpose {
  /** The question of a node that starts. */
  StartupQuestion = "startup-question",
  /** The question of a node that was paused. */
  Confirmation = "confirmation",
  AntiEntropy = "anti-entropy",
  /** News that should not wait for the next exchange. */
  Push = "push",
  Pull = "pull",
  Replication = "replication",
}
