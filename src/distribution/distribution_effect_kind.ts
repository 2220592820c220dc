/** What the distribution of a node asks its runtime to do. */
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
