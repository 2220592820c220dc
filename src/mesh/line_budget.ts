/** Bounds the lines of a log in each second. */
export interface LineBudget {
  /** Returns whether a line may be written; `now` in milliseconds since the Unix epoch. */
  trySpend(now: number): boolean;
}
