/** What this node knows of the load of a service as a whole. Mutable. */
export interface ServiceLoad {
  /** Moving average of the share of slots in use that replies report, 0 for none. */
  busyShare: number;
  /** Moving average of the time to an answer in milliseconds, by route name. */
  readonly answerMilliseconds: Map<string, number>;
  /** Moving average of the times for which calls keep a slot that replies report, in milliseconds, by route name. */
  readonly serviceMilliseconds: Map<string, number>;
}
