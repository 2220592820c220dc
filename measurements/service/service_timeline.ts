/** When the zone leaves and returns, in seconds since the start of the caller. */
export interface ServiceTimeline {
  readonly outSecond: number;
  readonly returnSecond: number;
  readonly endSecond: number;
}
