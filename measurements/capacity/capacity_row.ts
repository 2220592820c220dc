/** A row of the capacity page: one quantity at the two-year size. */
export interface CapacityRow {
  readonly quantity: string;
  /** How the figure is computed, with a link to the page of its input. */
  readonly derivation: string;
  /** Value with its unit. */
  readonly figure: string;
  /** The limit that the users state; empty if there is none. */
  readonly limit: string;
}
