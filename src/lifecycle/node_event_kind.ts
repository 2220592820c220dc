/** What changes the state of a node. */
export enum NodeEventKind {
  /** A configuration was put in force. */
  ConfigurationInForce = "configuration-in-force",
  /** The process did not run for longer than the pause threshold. */
  PauseNoticed = "pause-noticed",
  /** Peers confirmed or replaced the version in force. */
  ViewConfirmed = "view-confirmed",
  StopRequested = "stop-requested",
}
