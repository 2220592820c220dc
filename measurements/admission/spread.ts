/** A figure over several seeds. */
export interface Spread {
  readonly mean: number;
  readonly least: number;
  readonly most: number;
}
