/**
 * What a fleet used for control in one window, on average for each node. Bytes
 * and messages are those of the connections that the node opened: its requests
 * and their answers.
 */
export interface ControlUse {
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
