/** The output streams of a command. */
export interface CommandOutput {
  /** Writes to standard output. */
  write(text: string): void;
  /** Writes to standard error. */
  writeError(text: string): void;
}
