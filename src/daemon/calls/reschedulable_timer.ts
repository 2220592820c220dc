/** A timer whose instant can change. */
export interface ReschedulableTimer {
  /** Sets the instant, in milliseconds since the Unix epoch; `Infinity` for none. */
  setInstant(instant: number): void;
}
