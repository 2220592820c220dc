/** What the gauges read each time the metrics are rendered. */
export interface NodeGauges {
  readonly versionNumber: number;
  readonly ready: boolean;
  readonly peers: number;
  readonly limit: number;
  readonly running: number;
  readonly queued: number;
  readonly platformReads: number;
  readonly controlBytesSent: number;
  readonly controlBytesReceived: number;
  readonly controlMessagesSent: number;
  readonly controlMessagesReceived: number;
}
