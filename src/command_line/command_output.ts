/** Where a command writes. */
export interface CommandOutput {
  /** Writes to standard output. */
  write(text: string): void;
  /** Writes to standard error. */
  writeError(text: string): void;
}
