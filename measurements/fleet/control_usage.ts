/**
 * What a fleet used for control in one window, on average for each node. Bytes
 * are those of the connections to and from other nodes, with HTTP heads.
 */
export interface ControlUsage {
  readonly windowMilliseconds: number;
  readonly bytesSentPerSecond: number;
  readonly bytesReceivedPerSecond: number;
  readonly messagesSentPerSecond: number;
  readonly messagesReceivedPerSecond: number;
  /** The node that sent and received most. */
  readonly highestBytesPerSecond: number;
  /** Share of one core. */
  readonly processorShare: number;
  readonly highestProcessorShare: number;
  readonly residentBytes: number;
  readonly highestResidentBytes: number;
  /** Reads of the platform by the whole fleet. */
  readonly platformReadsPerSecond: number;
}
