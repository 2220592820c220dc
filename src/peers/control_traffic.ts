/** Control traffic of one node since its start, in both directions. */
export interface ControlTraffic {
  readonly bytesSent: number;
  readonly bytesReceived: number;
  /** Requests and answers that left the node. */
  readonly messagesSent: number;
  /** Requests and answers that reached the node. */
  readonly messagesReceived: number;
}
