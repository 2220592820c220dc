/** One figure at the two-year size. */
export interface CapacityRow {
  readonly quantity: string;
  /** How it was worked out, and from which page. */
  readonly derivation: string;
  readonly figure: string;
  readonly limit: string;
}
