/** Control traffic of one node since its start, in both directions. */
export interface ControlTraffic {
  readonly bytesSent: number;
  readonly bytesReceived: number;
  /** Requests and responses that this node sent. */
  readonly messagesSent: number;
  /** Requests and responses that this node received. */
  readonly messagesReceived: number;
}
