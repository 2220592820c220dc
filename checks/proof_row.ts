/**
 * A point, which is a guarantee that must always hold, and one failure under
 * which it is tested.
 */
export interface ProofRow {
  /** Number of the point, as in the tag of its tests. */
  readonly point: number;
  /** The guarantee in words. */
  readonly promise: string;
  /** Name of the failure, as in the tag of its tests. */
  readonly failure: string;
}
