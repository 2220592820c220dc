/** Resources used in a time window after many nodes restarted together. */
export interface RestartStormUsage {
  readonly restartedNodes: number;
  /** Control bytes that a restarted node sent and received, on average. */
  readonly bytesPerNode: number;
  /** Control messages that a restarted node sent, on average. */
  readonly messagesPerNode: number;
  /** Control bytes of the restarted node with the most traffic. */
  readonly highestBytes: number;
  /** Reads of the platform by the whole fleet. */
  readonly platformReads: number;
  /** Highest number of reads within a second since the start of the deployment. */
  readonly peakReadsPerSecond: number;
  /** Time from the start until every restarted node had a version in force. */
  readonly recoveryMilliseconds: number;
}
