/** The result of an operation and its duration. */
export interface TimedResult<T> {
  readonly value: T;
  readonly milliseconds: number;
}
