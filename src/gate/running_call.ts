/** A call that holds a slot. */
export interface RunningCall {
  readonly route: string;
  /** In milliseconds since the Unix epoch. */
  readonly startedAt: number;
}
