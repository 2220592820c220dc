/** A time in which the process did not run. Both instants in milliseconds since the Unix epoch. */
export interface ProcessPause {
  /** When the process was last seen to run. */
  readonly lastTickAt: number;
  readonly resumedAt: number;
}
