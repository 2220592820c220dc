/** Counters of a platform stand-in since its start. */
export interface PlatformCounters {
  /** All requests of readers, including watches. */
  reads: number;
  /** Requests that had to wait for a new value. */
  watches: number;
  vmReads: number;
  /** Reads that were refused because they exceeded the rate. */
  refusedReads: number;
  /** The highest number of reads within one calendar second. */
  peakReadsPerSecond: number;
  /** Watches that are waiting now. */
  waitingWatches: number;
}
