/** A fault that the soak injects from outside the processes. */
export enum SoakFaultKind {
  /** A node is killed and started again. */
  Kill = "kill",
  /** A node is stopped gracefully and started again. */
  Stop = "stop",
  /** A node's process stands still. */
  Pause = "pause",
  /** A node's settings file changes and it gets SIGHUP. */
  Reload = "reload",
  /** Open connections to a node are reset. */
  ResetConnections = "reset-connections",
  /** Open connections to a node fall silent for good. */
  SilenceConnections = "silence-connections",
  /** Nothing that a node answers arrives. */
  CutOneWay = "cut-one-way",
  /** Everything to a node is late. */
  Delay = "delay",
  /** A backend server crashes and comes back cold. */
  CrashServer = "crash-server",
  /** A backend server breaks answers off, or sends them twice. */
  GarbleServer = "garble-server",
  /** A backend server says that it leaves, and comes back as another incarnation. */
  DrainServer = "drain-server",
  /** The store fails for all nodes. */
  StoreFault = "store-fault",
  /** The store's connections fall silent. */
  SilenceStore = "silence-store",
  /** The store forgets its history. */
  CompactStore = "compact-store",
  /** The operators publish a version with one more route. */
  PublishRules = "publish-rules",
  /** An availability zone is taken out and comes back. */
  TakeZoneOut = "take-zone-out",
}
