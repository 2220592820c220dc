/** Counters of the calls that a node received from callers since it started. */
export interface CallsStatus {
  readonly received: number;
  readonly answeredWhole: number;
  readonly refusedNotRun: number;
  readonly refusedUnknown: number;
  readonly abandoned: number;
  readonly running: number;
  /** Number of refusals by reason; reasons without a refusal are omitted. */
  readonly refusalsByReason: Readonly<Record<string, number>>;
}
