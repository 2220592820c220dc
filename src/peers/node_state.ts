/** What a node says of itself. */
export enum NodeState {
  /** Has no configuration in force yet. */
  Starting = "starting",
  Serving = "serving",
  /** Was paused and is checking its view with its peers. */
  ConfirmingView = "confirming-view",
  /** Finishes what runs and takes nothing new. */
  Draining = "draining",
}
