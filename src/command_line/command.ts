import type { CommandOutput } from "./command_output.ts";
import type { ExitStatus } from "./exit_status.ts";

/** Runs one command with the arguments after its name. */
export type Command = (
  parameters: readonly string[],
  output: CommandOutput,
) => Promise<ExitStatus>;
