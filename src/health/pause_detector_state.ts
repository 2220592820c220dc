/** The state of the pause detector. Both instants are in milliseconds since the Unix epoch. */
export interface PauseDetectorState {
  /** When the clock was last checked. */
  readonly lastTickAt: number;
  /** When the next check is due. */
  readonly nextTickAt: number;
}
