/** Counters of the calls that a node took from callers. */
export interface CallCounters {
  received: number;
  answeredWhole: number;
  refusedNotRun: number;
  refusedUnknown: number;
  abandoned: number;
  readonly refusalsByReason: Map<string, number>;
}
