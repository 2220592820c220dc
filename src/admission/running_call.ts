/** An admitted call whose end has not been reported. */
export interface RunningCall {
  readonly callIdentifier: string;
  /** In milliseconds since the Unix epoch. */
  readonly admittedAt: number;
  /** In milliseconds since the Unix epoch. */
  readonly deadline: number;
  /** The number of occupied slots at its admission, including its own. */
  readonly occupiedSlots: number;
}
