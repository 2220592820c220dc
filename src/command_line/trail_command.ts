import { createInterface } from "node:readline";
import type { AuditEntry } from "../telemetry/audit_entry.ts";
import type { Command } from "./command.ts";
import type { CommandOutput } from "./command_output.ts";
import { ExitStatus } from "./exit_status.ts";
import { formatAuditEntry } from "./format_audit_entry.ts";
import { getFailureStatus } from "./get_failure_status.ts";
import { reportDiagnostics } from "./report_diagnostics.ts";
import { requestOperatorPage } from "./request_operator_page.ts";
import type { ParsedCommandLine } from "./parsed_command_line.ts";

const usage = "catkinquay trail ADDRESS [--once] [--json]";

const help = `Usage: ${usage}

Follows the audit trail of a node until interrupted: what changed, from which
version to which, the source of the change and the reasons of a refusal. ADDRESS
is that of the operators' listener of the node, such as 127.0.0.1:6001.

  --once       show the entries recorded so far and exit
  --json       write one JSON object for each entry
  -h, --help   show this text

Example: catkinquay trail 127.0.0.1:6001 --once

Exit status: 0 if the node responded, 1 if it did not, 2 for invalid arguments.
`;

/** `catkinquay trail`: shows or follows the audit trail of a node. */
export const trailCommand: Command = {
  help,
  options: { once: { type: "boolean" }, json: { type: "boolean" } },
  operandsMinimum: 1,
  operandsMaximum: 1,
  usage,
  run,
};

async function run(
  { values, operands }: ParsedCommandLine,
  output: CommandOutput,
): Promise<ExitStatus> {
  const path = values["once"] === true ? "/trail" : "/trail?follow";
  const page = await requestOperatorPage(operands[0] ?? "", path);
  if (page.isErr) {
    reportDiagnostics([page.error], output);
    return getFailureStatus(page.error);
  }
  const lines = createInterface({
    input: page.value.body,
    crlfDelay: Infinity,
  });
  lines.on("line", (line) =>
    output.write(
      values["json"] === true
        ? `${line}\n`
        : formatAuditEntry(JSON.parse(line) as AuditEntry),
    ));
  return await new Promise((resolve) => {
    page.value.body.once("error", () => resolve(ExitStatus.Failure));
    lines.once("close", () => resolve(ExitStatus.Success));
  });
}
