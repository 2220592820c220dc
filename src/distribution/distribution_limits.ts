/** Spans, counts and shares that the distribution keeps to. */
export const distributionLimits = {
  /** Peers told at once of news, in the own zone and elsewhere. */
  pushOwnZone: 2,
  pushOtherZones: 1,
  /** Peers asked by a node that starts: all of a small fleet, and some of most zones of a large one. */
  startupOwnZone: 4,
  startupOtherZones: 12,
  /** Peers asked at a time by a node that was paused. */
  confirmationOwnZone: 3,
  confirmationOtherZones: 2,
  /** Peers that hold a version before a reader of the platform puts it in force. */
  replicas: 2,
  replicationMilliseconds: 2_000,
  prepareMilliseconds: 2_000,
  controlCallMilliseconds: 1_500,
  /** For the content of a version, which may have a megabyte. */
  pullCallMilliseconds: 5_000,
  readersPerZone: 2,
  platformReadMilliseconds: 2_000,
  platformWatchMilliseconds: 10_000,
  /** Without an answer of the platform to any node for so long, other nodes than the readers read too. */
  platformSilenceMilliseconds: 16_000,
  platformRetryMilliseconds: 500,
  maxPlatformRetryMilliseconds: 30_000,
  /** What other nodes than the readers may take together of the platform's 2,000 reads a second. */
  platformReadsPerSecond: 500,
  /** Exchanges that fail in a row before a node counts as cut off from its peers. */
  isolatedExchanges: 3,
  /** The least time between two reads of a node that is cut off. */
  isolatedReadMilliseconds: 2_000,
  /** The interval of reading the VM list: a floor, and a span for each VM listed. */
  readerListMilliseconds: 2_000,
  readerListMillisecondsPerVm: 50,
  /** A node that starts in a fleet too large for one answer puts off its first reading within this span. */
  largeFleetListMilliseconds: 6_000,
  listMilliseconds: 10_000,
  listMillisecondsPerVm: 1_000,
  /** Changes of a record that can wait are spread over this span for each node known. */
  refreshMillisecondsPerPeer: 500,
  refreshMillisecondsPerPeerOfLargeFleet: 1_500,
  /** A fleet of more nodes counts as large. */
  largeFleetNodes: 100,
  recordsPerMessage: 32,
  recordsPerReconcile: 64,
  reconcileBuckets: 128,
  reconcileMilliseconds: 10_000,
  reconcileMoreMilliseconds: 200,
  refusedDigestsKept: 16,
  refusalReasonsKept: 20,
  /** How long a confirmation waits for further answers once one has come. */
  confirmationSettleMilliseconds: 250,
  confirmationRetryMilliseconds: 500,
} as const;
