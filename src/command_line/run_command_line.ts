import type { Command } from "./command.ts";
import type { CommandOutput } from "./command_output.ts";
import { ExitStatus } from "./exit_status.ts";
import { runCommand } from "./run_command.ts";

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

/** Each command is loaded when it runs; the modules of a node take longest to load. */
const commands: ReadonlyMap<string, () => Promise<Command>> = new Map([
  ["node", async () => (await import("./node_command.ts")).nodeCommand],
  ["check", async () => (await import("./check_command.ts")).checkCommand],
  ["routes", async () => (await import("./routes_command.ts")).routesCommand],
  ["status", async () => (await import("./status_command.ts")).statusCommand],
  ["trail", async () => (await import("./trail_command.ts")).trailCommand],
  [
    "explain",
    async () => (await import("./explain_command.ts")).explainCommand,
  ],
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
    const { getPackageVersion } = await import("./get_package_version.ts");
    output.write(`${getPackageVersion()}\n`);
    return ExitStatus.Success;
  }
  const loadCommand = commands.get(name);
  if (loadCommand === undefined) {
    output.writeError(
      name === "" ? help : `Unknown command "${name}"\n\n${help}`,
    );
    return ExitStatus.Usage;
  }
  return await runCommand(await loadCommand(), rest, output);
}
