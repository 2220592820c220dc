/** Times, in milliseconds, between two owners of a quota. */
export interface HandoverTimes {
  /** Time without a reading after which a node grants nothing. */
  readonly outdatedMilliseconds: number;
  /** Time after which no other node can still grant by an earlier view. */
  readonly handoverMilliseconds: number;
}
