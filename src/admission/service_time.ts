/** Moving averages over the calls that were answered. */
export interface ServiceTime {
  readonly samples: number;
  /** Follows the last calls, in milliseconds. */
  readonly recentMilliseconds: number;
  /** Follows the calls of a longer time, in milliseconds. */
  readonly usualMilliseconds: number;
}
