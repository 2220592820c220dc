/** Behaviour of the callers and duration of the work in a run. */
export interface ServiceLoad {
  readonly callsPerSecond: number;
  /** Fraction of the calls that their caller abandons, from 0 to 1. */
  readonly abandonShare: number;
  /** Shortest and longest time until a caller abandons a call. */
  readonly abandonMilliseconds: readonly [number, number];
  /** Shortest and longest work of a call at its backend server. */
  readonly workMilliseconds: readonly [number, number];
}
