import type { Command } from "./command.ts";
import type { CommandOutput } from "./command_output.ts";
import { ExitStatus } from "./exit_status.ts";
import { parseCommandLine } from "./parse_command_line.ts";
import { reportDiagnostics } from "./report_diagnostics.ts";

/** Runs a command with the arguments after its name. Handles `--help` and invalid arguments. */
export async function runCommand(
  command: Command,
  commandLineArguments: readonly string[],
  output: CommandOutput,
): Promise<ExitStatus> {
  const commandLine = parseCommandLine(commandLineArguments, command);
  if (commandLine.isErr) {
    reportDiagnostics([commandLine.error], output);
    return ExitStatus.Usage;
  }
  if (commandLine.value.values["help"] === true) {
    output.write(command.help);
    return ExitStatus.Success;
  }
  return await command.run(commandLine.value, output);
}
