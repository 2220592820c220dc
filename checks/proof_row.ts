/** One failure put against one of the points that must always hold. */
export interface ProofRow {
  readonly point: number;
  /** What must hold. */
  readonly promise: string;
  readonly failure: string;
}
