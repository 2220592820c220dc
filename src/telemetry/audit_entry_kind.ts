/** The type of change that an audit entry reports. */
export enum AuditEntryKind {
  NodeStarted = "node-started",
  NodeReady = "node-ready",
  NodeStopping = "node-stopping",
  NodeStopped = "node-stopped",
  ProcessPaused = "process-paused",
  ViewConfirmed = "view-confirmed",
  ConfigurationApplied = "configuration-applied",
  ConfigurationRefused = "configuration-refused",
  ConfigurationConflict = "configuration-conflict",
  ConfigurationOlderIgnored = "configuration-older-ignored",
  ZoneTakenOut = "zone-taken-out",
  ZoneReturned = "zone-returned",
  BackendServerStateChanged = "backend-server-state-changed",
  PlatformLost = "platform-lost",
  PlatformRegained = "platform-regained",
}
