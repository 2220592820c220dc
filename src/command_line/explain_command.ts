import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import type { Command } from "./command.ts";
import type { CommandOutput } from "./command_output.ts";
import { ExitStatus } from "./exit_status.ts";
import { explainCall } from "./explain_call.ts";
import type { ParsedCommandLine } from "./parsed_command_line.ts";
import { readTextFile } from "./read_text_file.ts";
import { reportDiagnostics } from "./report_diagnostics.ts";

const usage = "catkinquay explain ID FILE…";
const maximumOperands = 10_000;

const help = `Usage: ${usage}

Shows what the nodes decided about one call, in order of time, from their logs.
ID is the call identifier that the caller sent; each FILE contains the log of
one or more nodes.

  -h, --help   show this text

Exit status: 0 if the logs mention the call, 1 if they do not, 2 for invalid
arguments or a file that cannot be read.
`;

/** `catkinquay explain`: shows the log lines of one call in order of time. */
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
  const files = await Promise.all(
    paths.map((path) => readTextFile(path, DiagnosticCode.FileUnreadable)),
  );
  const failures = files.flatMap((file) => file.isErr ? [file.error] : []);
  if (failures.length > 0) {
    reportDiagnostics(failures, output);
    return ExitStatus.Usage;
  }
  const texts = files.flatMap((file) => file.isOk ? [file.value] : []);
  const lines = explainCall(texts, callIdentifier);
  if (lines.length === 0) {
    output.writeError(
      `No log line mentions the call "${callIdentifier}"; nodes log only a sample of the successful calls\n`,
    );
    return ExitStatus.Failure;
  }
  lines.forEach((line) => output.write(`${line}\n`));
  return ExitStatus.Success;
}
