/** What a herd of nodes that restarted at once used until a while after its start. */
export interface RestartStormUsage {
  readonly restartedNodes: number;
  /** Bytes sent and received by a restarted node, on average. */
  readonly bytesPerNode: number;
  /** Messages sent by a restarted node, on average. */
  readonly messagesPerNode: number;
  readonly highestBytes: number;
  /** Reads of the platform by the whole fleet. */
  readonly platformReads: number;
  /** The highest number of reads within a second since the deployment began. */
  readonly peakReadsPerSecond: number;
  /** Until the last restarted node had a version in force, in milliseconds. */
  readonly recoveryMilliseconds: number;
}
