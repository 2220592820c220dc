/** The parsed options and operands of a command. */
export interface ParsedCommandLine {
  /** The option values, keyed by option name. */
  readonly values: Readonly<
    Record<string, string | boolean | (string | boolean)[] | undefined>
  >;
  readonly operands: readonly string[];
}
