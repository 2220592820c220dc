/** When the zone is taken out and returned, and when the run ends, in seconds since the start of the caller. */
export interface ServiceTimeline {
  readonly outSecond: number;
  readonly returnSecond: number;
  readonly endSecond: number;
}
