import type { NodeStatus } from "../daemon/node_status.ts";
import type { Command } from "./command.ts";
import type { CommandOutput } from "./command_output.ts";
import { ExitStatus } from "./exit_status.ts";
import { formatNodeStatus } from "./format_node_status.ts";
import { getFailureStatus } from "./get_failure_status.ts";
import { reportDiagnostics } from "./report_diagnostics.ts";
import { requestOperatorPage } from "./request_operator_page.ts";
import type { ParsedCommandLine } from "./parsed_command_line.ts";

const usage = "catkinquay status ADDRESS [--json]";

const help = `Usage: ${usage}

Shows the version in force on a node, its zone, backend server, peers and
refusals. ADDRESS is that of the operators' listener of the node, such as
127.0.0.1:6001.

  --json       write one JSON object
  -h, --help   show this text

Example: catkinquay status 127.0.0.1:6001

Exit status: 0 if the node responded, 1 if it did not, 2 for invalid arguments.
`;

/** `catkinquay status`: shows the status of a node. */
export const statusCommand: Command = {
  help,
  options: { json: { type: "boolean" } },
  operandsMinimum: 1,
  operandsMaximum: 1,
  usage,
  run,
};

async function run(
  { values, operands }: ParsedCommandLine,
  output: CommandOutput,
): Promise<ExitStatus> {
  const page = await requestOperatorPage(operands[0] ?? "", "/status");
  if (page.isErr) {
    reportDiagnostics([page.error], output);
    return getFailureStatus(page.error);
  }
  const status = await page.value.body.json() as NodeStatus;
  output.write(
    values["json"] === true
      ? `${JSON.stringify(status)}\n`
      : formatNodeStatus(status),
  );
  return ExitStatus.Success;
}
