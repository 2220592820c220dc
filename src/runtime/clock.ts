/** A source of the current time. Decision modules never read a clock themselves. */
export interface Clock {
  /** Returns the current instant in milliseconds since the Unix epoch. */
  now(): number;
}
