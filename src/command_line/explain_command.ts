import { mapConcurrently } from "../collections/map_concurrently.ts";
import type { Command } from "./command.ts";
import type { CommandOutput } from "./command_output.ts";
import { ExitStatus } from "./exit_status.ts";
import { explainCall } from "./explain_call.ts";
import type { ParsedCommandLine } from "./parsed_command_line.ts";
import { readCallLines } from "./read_call_lines.ts";
import { reportDiagnostics } from "./report_diagnostics.ts";

const usage = "catkinquay explain ID FILE…";
const maximumOperands = 10_000;
const filesAtOnce = 8;

const help = `Usage: ${usage}

Shows how one call ended and why, and then what the nodes decided about it in
order of time, from their logs. ID is the call identifier that the caller sent;
each FILE contains the log of one or more nodes.

Example: catkinquay explain ce8e17f7653c959b logs/*.jsonl

  -h, --help   show this text

Exit status: 0 if the logs mention the call, 1 if they do not, 2 for invalid
arguments or a file that cannot be read.
`;

/** `catkinquay explain`: shows the cause of one call's outcome and its log lines in order of time. */
export const explainCommand: Command = {
  help,
  options: {},
  operandsMinimum: 2,
  operandsMaximum: maximumOperands,
  usage,
  run,
};

async function run(
  { operands }: ParsedCommandLine,
  output: CommandOutput,
): Promise<ExitStatus> {
  const [callIdentifier = "", ...paths] = operands;
  const files = await mapConcurrently(paths, {
    concurrency: filesAtOnce,
    map: (path) => readCallLines(path, callIdentifier),
  });
  const failures = files.flatMap((file) => file.isErr ? [file.error] : []);
  if (failures.length > 0) {
    reportDiagnostics(failures, output);
    return ExitStatus.Usage;
  }
  const lines = files.flatMap((file) => file.isOk ? file.value : []);
  if (lines.length === 0) {
    output.writeError(
      `No log line mentions the call "${callIdentifier}"; nodes log only a sample of the successful calls\n`,
    );
    return ExitStatus.Failure;
  }
  explainCall(lines).forEach((line) => output.write(`${line}\n`));
  return ExitStatus.Success;
}
