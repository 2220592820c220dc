/**
 * A row of the table of proofs: a guarantee that must always hold (the point)
 * and one failure under which it is tested.
 */
export interface ProofRow {
  /** Number of the point, as in the tag of its tests. */
  readonly point: number;
  /** The guarantee in words. */
  readonly promise: string;
  /** Name of the failure, as in the tag of its tests. */
  readonly failure: string;
}
