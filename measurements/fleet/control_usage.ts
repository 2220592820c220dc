/**
 * Resources that a fleet used for control in one time window, as the mean over
 * its nodes unless stated otherwise. Bytes are those of the connections to and
 * from other nodes, including HTTP heads.
 */
export interface ControlUsage {
  readonly windowMilliseconds: number;
  readonly bytesSentPerSecond: number;
  readonly bytesReceivedPerSecond: number;
  readonly messagesSentPerSecond: number;
  readonly messagesReceivedPerSecond: number;
  /** Sent and received by the node with the most traffic. */
  readonly highestBytesPerSecond: number;
  /** Fraction of one core. */
  readonly processorShare: number;
  /** Of the node with the highest share. */
  readonly highestProcessorShare: number;
  readonly residentBytes: number;
  /** Of the node with the largest resident set. */
  readonly highestResidentBytes: number;
  /** Reads of the platform by the whole fleet. */
  readonly platformReadsPerSecond: number;
}
