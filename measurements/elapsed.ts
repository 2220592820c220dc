/** A result with the time that it took. */
export interface Elapsed<T> {
  readonly value: T;
  readonly milliseconds: number;
}
