/** A period in which the process did not run. Both instants are in milliseconds since the Unix epoch. */
export interface ProcessPause {
  /** When the clock was last checked before the pause. */
  readonly lastTickAt: number;
  /** When the clock was first checked after the pause. */
  readonly resumedAt: number;
}
