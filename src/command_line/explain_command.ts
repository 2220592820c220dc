import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import type { Command } from "./command.ts";
import type { CommandOutput } from "./command_output.ts";
import { ExitStatus } from "./exit_status.ts";
import { explainCall } from "./explain_call.ts";
import type { ParsedCommandLine } from "./parsed_command_line.ts";
import { readTextFile } from "./read_text_file.ts";
import { reportDiagnostics } from "./report_diagnostics.ts";

const usage = "catkinquay explain ID FILE…";
const filesMaximum = 10_000;

const help = `Usage: ${usage}

Shows what the nodes decided on one call, in order, from their logs. ID is the
identifier that the caller sent; each FILE holds the log of one node or of
several.

  -h, --help   show this text

Exit status: 0, 1 if no line names the call, 2 for wrong arguments or a file
that cannot be read.
`;

/** `catkinquay explain`: shows the path of a call from the logs. */
export const explainCommand: Command = {
  help,
  options: {},
  operandsMinimum: 2,
  operandsMaximum: filesMaximum,
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
      `No line names the call "${callIdentifier}". Of calls that went well, only a sample is written.\n`,
    );
    return ExitStatus.Failure;
  }
  lines.forEach((line) => output.write(`${line}\n`));
  return ExitStatus.Success;
}
