/** Moving averages of the time that the backend server takes for a call. */
export interface ServiceTime {
  /** The number of calls in the averages. */
  readonly samples: number;
  /** The average over the latest calls, in milliseconds. */
  readonly recentMilliseconds: number;
  /**
   * The average over a longer period while the backend server is ready, in
   * milliseconds; 0 before the first cold start has ended.
   */
  readonly baselineMilliseconds: number;
}
