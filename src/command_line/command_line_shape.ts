import type { ParseArgsConfig } from "node:util";

/** The options and the number of operands that a command takes. */
export interface CommandLineShape {
  readonly options: NonNullable<ParseArgsConfig["options"]>;
  readonly operandsMinimum: number;
  readonly operandsMaximum: number;
  /** What the usage diagnostic says is allowed. */
  readonly usage: string;
}
