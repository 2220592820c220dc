/** Processor time that a group of nodes spends on one request. */
export interface ProcessorTime {
  /** Processor time per request. */
  readonly milliseconds: number;
  /** Request rate during the measurement. */
  readonly requestsPerSecond: number;
  /** Number of requests sent. */
  readonly sent: number;
}
