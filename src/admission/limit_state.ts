/** Where the limit on concurrent calls stands. All instants in milliseconds since the Unix epoch. */
export interface LimitState {
  /** How many calls may run at once; the whole part counts. */
  readonly current: number;
  /** Calls dispatched before this instant say nothing of the present limit. */
  readonly changedAt: number;
  /** Calls answered at the present limit, of those dispatched since it changed. */
  readonly answered: number;
  /** Those among `answered` that were admitted to the last slot under the limit. */
  readonly answeredWhenFull: number;
  /** Sheds in a row, without an answer in between. */
  readonly shedInARow: number;
}
