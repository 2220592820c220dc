/** A table of results; every row has one cell per column. */
export interface MeasureTable {
  readonly title: string;
  readonly columns: readonly string[];
  readonly rows: readonly (readonly (string | number)[])[];
}
