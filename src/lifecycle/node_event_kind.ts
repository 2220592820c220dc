/** The events that can change the state of a node. */
export enum NodeEventKind {
  /** A configuration is in force. */
  ConfigurationInForce = "configuration-in-force",
  /** The process was paused for longer than the pause threshold. */
  PauseDetected = "pause-detected",
  /** Peers confirmed or replaced the version in force. */
  ViewConfirmed = "view-confirmed",
  StopRequested = "stop-requested",
}
