import type { CommandLineShape } from "./command_line_shape.ts";
import type { CommandOutput } from "./command_output.ts";
import type { ExitStatus } from "./exit_status.ts";
import type { ParsedCommandLine } from "./parsed_command_line.ts";

/** One command of the command line. */
export interface Command extends CommandLineShape {
  /** What `--help` shows. */
  readonly help: string;
  /** Runs the command with arguments that fit its shape. */
  readonly run: (
    commandLine: ParsedCommandLine,
    output: CommandOutput,
  ) => Promise<ExitStatus>;
}
