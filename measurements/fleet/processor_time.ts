/** Processor time that some nodes spend on one request. */
export interface ProcessorTime {
  /** For each request, in milliseconds. */
  readonly milliseconds: number;
  /** Requests a second while it was measured. */
  readonly requestsPerSecond: number;
  /** How many requests were sent. */
  readonly sent: number;
}
