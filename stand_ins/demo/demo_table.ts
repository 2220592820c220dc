/** The demo's table of steps and results. */
export interface DemoTable {
  /** Writes a row with the time since the table was created. */
  addRow(step: string, result: string): void;
}
