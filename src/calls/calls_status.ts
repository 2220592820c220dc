/** Counters of the calls that a node took from callers since it started. */
export interface CallsStatus {
  readonly received: number;
  readonly answeredWhole: number;
  readonly refusedNotRun: number;
  readonly refusedUnknown: number;
  readonly abandoned: number;
  readonly running: number;
  /** Refusals by reason; reasons without a refusal are left out. */
  readonly refusalsByReason: Readonly<Record<string, number>>;
}
