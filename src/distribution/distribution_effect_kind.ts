/** The kinds of actions that the runtime executes for the distribution. */
export enum DistributionEffectKind {
  CallPeer = "call-peer",
  Reply = "reply",
  ReadPlatform = "read-platform",
  WatchPlatform = "watch-platform",
  ListVms = "list-vms",
  PrepareSnapshot = "prepare-snapshot",
  ApplySnapshot = "apply-snapshot",
  ConfirmView = "confirm-view",
  RecordAudit = "record-audit",
  LogWarning = "log-warning",
}
