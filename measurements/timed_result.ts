/** A result with the time that it took. */
export interface TimedResult<T> {
  readonly value: T;
  readonly milliseconds: number;
}
