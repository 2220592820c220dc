/** Counters of the calls that a node received from callers. */
export interface CallCounters {
  received: number;
  /** Calls whose complete answer was sent to the caller. */
  answeredWhole: number;
  refusedNotRun: number;
  refusedUnknown: number;
  /** Calls whose caller left before the answer was complete. */
  abandoned: number;
  /** By refusal reason. */
  readonly refusalsByReason: Map<string, number>;
}
