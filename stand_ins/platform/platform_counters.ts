/** What the platform's stand-in counted since its start. */
export interface PlatformCounters {
  /** Every request of a reader, watches included. */
  reads: number;
  watches: number;
  vmReads: number;
  /** Reads that were refused for exceeding the rate. */
  refusedReads: number;
  /** The highest number of reads within one second of the clock. */
  peakReadsPerSecond: number;
  waitingWatches: number;
}
