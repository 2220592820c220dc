/** A fault that a soak injects from outside the node processes. */
export enum SoakFaultKind {
  /** A node is killed and started again. */
  Kill = "kill",
  /** A node is stopped gracefully and started again. */
  Stop = "stop",
  /** A node's process is suspended and resumed. */
  Pause = "pause",
  /** A node receives SIGHUP and reloads its settings file. */
  Reload = "reload",
  /** Open connections to a node are reset. */
  ResetConnections = "reset-connections",
  /** Open connections to a node silently drop all further data. */
  SilenceConnections = "silence-connections",
  /** Data from a node to its peers is dropped, while data to the node arrives. */
  CutOneWay = "cut-one-way",
  /** Data to and from a node is delayed. */
  Delay = "delay",
  /** A backend server crashes and is started again, cold. */
  CrashServer = "crash-server",
  /** A backend server truncates answers, or sends further bytes after them. */
  GarbleServer = "garble-server",
  /** A backend server reports that it drains, and is started again as a new incarnation. */
  DrainServer = "drain-server",
  /** A backend server states a rate limit in its answers. */
  LimitServer = "limit-server",
  /** A backend server states in its answers alone that it is about to leave, and is started again as a new incarnation. */
  LeaveServer = "leave-server",
  /** A backend server crashes, and its address goes to one of the other service for a time. */
  ReuseAddress = "reuse-address",
  /** A request that crashes the backend server that runs it is sent again and again, at all nodes. */
  CrashingRequest = "crashing-request",
  /** The store fails for all nodes. */
  StoreFault = "store-fault",
  /** Open connections of a node to the store silently drop all further data. */
  SilenceStore = "silence-store",
  /** The store discards its history of changes. */
  CompactStore = "compact-store",
  /** The store is away for a moment and comes back from an older copy. */
  RestoreStore = "restore-store",
  /** The operators publish a version with one more route. */
  PublishRules = "publish-rules",
  /** An availability zone is taken out and returned. */
  TakeZoneOut = "take-zone-out",
}
