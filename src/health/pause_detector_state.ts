/** What the pause detector remembers. Both instants in milliseconds since the Unix epoch. */
export interface PauseDetectorState {
  /** When the process was last seen to run. */
  readonly lastTickAt: number;
  /** When it is to be seen next. */
  readonly nextTickAt: number;
}
