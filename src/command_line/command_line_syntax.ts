import type { ParseArgsConfig } from "node:util";

/** The options and the number of operands that a command accepts. */
export interface CommandLineSyntax {
  readonly options: NonNullable<ParseArgsConfig["options"]>;
  readonly operandsMinimum: number;
  readonly operandsMaximum: number;
  /** The usage line, shown in diagnostics for invalid arguments. */
  readonly usage: string;
}
