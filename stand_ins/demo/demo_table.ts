/** Prints the rows of the demo's table as they come. */
export interface DemoTable {
  row(step: string, seen: string): void;
}
