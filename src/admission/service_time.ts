/** Moving averages over the calls that were answered. */
export interface ServiceTime {
  readonly samples: number;
  /** Follows the last calls, in milliseconds. */
  readonly recentMilliseconds: number;
  /** Follows the calls of a longer time while ready, in milliseconds; 0 before the first cold start ended. */
  readonly baselineMilliseconds: number;
}
