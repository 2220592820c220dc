/** Counts reads by second of the clock. */
export interface ReadRate {
  /** Counts one read and returns how many fell into the same second so far. */
  count(now: number): number;
  getPeak(): number;
}
