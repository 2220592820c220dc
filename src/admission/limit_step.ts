/** The last decision of a controller that judges its own steps, and what it rested on. */
export interface LimitStep {
  /** The limit before the last step. */
  readonly previousLimit: number;
  /** Whether the last step raised the limit. */
  readonly isRaise: boolean;
  /** No raise before this instant, in milliseconds since the Unix epoch. */
  readonly noRaiseBefore: number;
  /** Raises taken back in a row. */
  readonly consecutiveReverts: number;
}
