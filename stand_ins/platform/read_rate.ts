/** Counts reads per calendar second. */
export interface ReadRate {
  /** Counts one read at `now`, in milliseconds since the Unix epoch; returns the number of reads in its second so far. */
  count(now: number): number;
  /** Returns the highest number of reads within one second. */
  getPeak(): number;
}
