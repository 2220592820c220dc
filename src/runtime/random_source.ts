/** A source of uniformly distributed random numbers. */
export interface RandomSource {
  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  next(): number;
}
