/** The kinds of events that the distribution handles. */
export enum DistributionEventKind {
  Started = "started",
  DeadlineReached = "deadline-reached",
  /** The state of this node, the state of its backend server or the number of free slots changed. */
  OwnStateChanged = "own-state-changed",
  RequestReceived = "request-received",
  PeerResponseReceived = "call-answered",
  PeerCallFailed = "call-failed",
  PlatformResponseReceived = "platform-answered",
  PlatformFailed = "platform-failed",
  VmsListed = "vms-listed",
  VmListFailed = "vm-list-failed",
  SnapshotPrepared = "snapshot-prepared",
  ViewConfirmationRequested = "view-confirmation-requested",
  StopRequested = "stop-requested",
}
