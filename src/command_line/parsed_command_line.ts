/** The options and operands of a command. */
export interface ParsedCommandLine {
  readonly values: Readonly<
    Record<string, string | boolean | (string | boolean)[] | undefined>
  >;
  readonly operands: readonly string[];
}
