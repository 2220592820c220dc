/** Counts, timeouts and intervals of the distribution. */
export const distributionLimits = {
  /**
   * Peers to which a change is pushed immediately, in this node's zone and in
   * others.
   */
  pushOwnZonePeers: 2,
  pushOtherZonePeers: 1,
  /**
   * Peers queried at a time by a starting node: all of a small fleet, and some
   * in most zones of a large one.
   */
  startupOwnZonePeers: 4,
  startupOtherZonePeers: 12,
  /** Peers queried at a time to confirm the view after a pause. */
  confirmationOwnZonePeers: 3,
  confirmationOtherZonePeers: 2,
  /**
   * Peers that must store a version before the node that read it from the
   * platform puts it in force.
   */
  replicas: 2,
  replicationTimeoutMilliseconds: 2_000,
  prepareTimeoutMilliseconds: 2_000,
  controlCallTimeoutMilliseconds: 1_500,
  /**
   * Longer than other calls, since the content of a version may be a megabyte.
   */
  pullCallTimeoutMilliseconds: 5_000,
  readersPerZone: 2,
  platformReadTimeoutMilliseconds: 2_000,
  platformWatchTimeoutMilliseconds: 10_000,
  /**
   * If the platform has responded to no node for this long, nodes that are not
   * readers read it too.
   */
  platformSilenceMilliseconds: 16_000,
  platformRetryMilliseconds: 500,
  maxPlatformRetryMilliseconds: 30_000,
  /**
   * How many of the platform's 2,000 reads per second all nodes that are not
   * readers may use together.
   */
  platformReadsPerSecond: 500,
  /**
   * Exchange intervals without contact to any peer after which a node counts as
   * isolated.
   */
  isolationMissedExchanges: 3,
  /** The minimum interval between two platform reads of an isolated node. */
  isolatedReadIntervalMilliseconds: 2_000,
  /**
   * The interval at which readers read the VM list: a minimum, and an amount
   * per listed VM.
   */
  readerListIntervalMilliseconds: 2_000,
  readerListIntervalMillisecondsPerVm: 50,
  /**
   * The maximum random delay of the first VM list read of a node that starts in
   * a fleet too large for one reconcile response.
   */
  largeFleetListDelayMilliseconds: 6_000,
  /**
   * The interval at which other nodes read the VM list: a minimum, and an
   * amount per listed VM.
   */
  listIntervalMilliseconds: 10_000,
  listIntervalMillisecondsPerVm: 1_000,
  /**
   * The window, per known node, over which deferred changes of records are
   * spread.
   */
  refreshWindowMillisecondsPerNode: 500,
  largeFleetRefreshWindowMillisecondsPerNode: 1_500,
  /** A fleet with more nodes than this counts as large. */
  largeFleetNodes: 100,
  recordsPerMessage: 32,
  recordsPerReconcile: 64,
  reconcileBuckets: 128,
  reconcileIntervalMilliseconds: 10_000,
  reconcileContinuationMilliseconds: 200,
  maxRefusedDigests: 16,
  maxRefusalReasons: 20,
  /**
   * How long a confirmation waits for further responses after the first one
   * from a peer whose view is confirmed.
   */
  confirmationResponseWaitMilliseconds: 250,
  confirmationRetryMilliseconds: 500,
} as const;
