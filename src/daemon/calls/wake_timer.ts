/** One timer that is set anew as the awaited instant changes. */
export interface WakeTimer {
  /** Sets the instant, in milliseconds since the Unix epoch; `Infinity` for none. */
  setInstant(instant: number): void;
}
