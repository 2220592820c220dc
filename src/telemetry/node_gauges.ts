/** The values of the gauges at one rendering of the metrics. */
export interface NodeGauges {
  /** Number of the configuration version in force; 0 for none. */
  readonly versionNumber: number;
  /** Whether the node accepts calls. */
  readonly ready: boolean;
  readonly peers: number;
  /** Concurrency limit of the backend server. */
  readonly limit: number;
  readonly running: number;
  readonly queued: number;
  readonly platformReads: number;
  readonly controlBytesSent: number;
  readonly controlBytesReceived: number;
  readonly controlMessagesSent: number;
  readonly controlMessagesReceived: number;
}
