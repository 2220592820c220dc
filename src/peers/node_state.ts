/** The state that a node reports about itself. */
export enum NodeState {
  /** Has no configuration in force yet. */
  Starting = "starting",
  Serving = "serving",
  /** Was paused and is confirming its view with its peers. */
  ConfirmingView = "confirming-view",
  /** Completes running calls and accepts no new ones. */
  Draining = "draining",
}
