/** The last decision of a controller that judges its own steps, and what it rested on. */
export interface LimitJudgement {
  /** The limit before the last step. */
  readonly limitBefore: number;
  /** Whether the last step raised the limit. */
  readonly raised: boolean;
  /** No raise before this instant, in milliseconds since the Unix epoch. */
  readonly holdUntil: number;
  /** Raises taken back in a row. */
  readonly takenBack: number;
}
