/** A failure under which one of the points that must always hold is tested. */
export interface ProofRow {
  /** Number of the point. */
  readonly point: number;
  /** What the point promises. */
  readonly promise: string;
  /** Name of the failure, as in the tag of its tests. */
  readonly failure: string;
}
