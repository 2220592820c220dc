/** A source of the current time. Modules that make decisions do not read a clock themselves. */
export interface Clock {
  /** Returns the current instant in milliseconds since the Unix epoch. */
  now(): number;
}
