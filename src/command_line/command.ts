import type { CommandLineSyntax } from "./command_line_syntax.ts";
import type { CommandOutput } from "./command_output.ts";
import type { ExitStatus } from "./exit_status.ts";
import type { ParsedCommandLine } from "./parsed_command_line.ts";

/** One command of the command line. */
export interface Command extends CommandLineSyntax {
  /** The text that `--help` prints. */
  readonly help: string;
  /** Runs the command with arguments that conform to its syntax. */
  readonly run: (
    commandLine: ParsedCommandLine,
    output: CommandOutput,
  ) => Promise<ExitStatus>;
}
