/** Where a command writes what people or programs read. */
export interface Output {
  /** Writes text as it is. */
  write(text: string): void;
}
