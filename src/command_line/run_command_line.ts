import { checkCommand } from "./check_command.ts";
import type { Command } from "./command.ts";
import type { CommandOutput } from "./command_output.ts";
import { explainCommand } from "./explain_command.ts";
import { ExitStatus } from "./exit_status.ts";
import { getPackageVersion } from "./get_package_version.ts";
import { nodeCommand } from "./node_command.ts";
import { routesCommand } from "./routes_command.ts";
import { runCommand } from "./run_command.ts";
import { statusCommand } from "./status_command.ts";
import { trailCommand } from "./trail_command.ts";

const help = `Usage: catkinquay COMMAND [OPTION]…

Commands:
  node     run one node beside its backend server
  check    check configuration documents before they are published
  routes   show the routes of a configuration document
  status   show a node's version, backend server, peers and refusals
  trail    show a node's audit trail of changes
  explain  show what the nodes decided about one call, from their logs

  -h, --help   show this text; "catkinquay COMMAND --help" shows a command's help
  --version    show the version
`;

const commands: ReadonlyMap<string, Command> = new Map([
  ["node", nodeCommand],
  ["check", checkCommand],
  ["routes", routesCommand],
  ["status", statusCommand],
  ["trail", trailCommand],
  ["explain", explainCommand],
]);

/** Runs the command that the first argument names and returns its exit status. */
export async function runCommandLine(
  commandLineArguments: readonly string[],
  output: CommandOutput,
): Promise<ExitStatus> {
  const [name = "", ...rest] = commandLineArguments;
  if (name === "--help" || name === "-h") {
    output.write(help);
    return ExitStatus.Success;
  }
  if (name === "--version") {
    output.write(`${getPackageVersion()}\n`);
    return ExitStatus.Success;
  }
  const command = commands.get(name);
  if (command === undefined) {
    output.writeError(
      name === "" ? help : `Unknown command "${name}"\n\n${help}`,
    );
    return ExitStatus.Usage;
  }
  return await runCommand(command, rest, output);
}
