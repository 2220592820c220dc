import process from "node:process";
import { createNodeDaemon } from "../daemon/create_node_daemon.ts";
import type { NodeDaemon } from "../daemon/node_daemon.ts";
import { parseNodeSettings } from "../daemon/parse_node_settings.ts";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import { formatAddress } from "../runtime/format_address.ts";
import type { Command } from "./command.ts";
import type { CommandOutput } from "./command_output.ts";
import { ExitStatus } from "./exit_status.ts";
import { readTextFile } from "./read_text_file.ts";
import { reportDiagnostics } from "./report_diagnostics.ts";
import { reportDiagnosticsWithSubject } from "./report_diagnostics_with_subject.ts";
import type { ParsedCommandLine } from "./parsed_command_line.ts";

const usage = "catkinquay node --settings FILE [--check-settings]";

const help = `Usage: ${usage}

Runs one node beside its backend server until SIGTERM or SIGINT. The first
signal starts a graceful shutdown; a second signal, or the drain deadline, stops
the node immediately.

  --settings FILE    the settings file, in JSON
  --check-settings   check the settings file and exit
  -h, --help         show this text

Example: catkinquay node --settings docs/samples/settings_vm_1.json

Exit status: 0 after a shutdown that aborted no call, 1 after a failure or a
shutdown that aborted calls, 2 for invalid arguments or settings.
`;

/**
 * Shuts the daemon down on SIGTERM or SIGINT; a second signal aborts the shutdown.
 * Resolves with the number of calls that the shutdown aborted.
 */
function waitForShutdown(daemon: NodeDaemon): Promise<number> {
  return new Promise((resolve) => {
    let signalCount = 0;
    function onSignal(): void {
      signalCount += 1;
      if (signalCount > 1) {
        daemon.abort();
        return;
      }
      daemon.stop().then(resolve);
    }
    process.on("SIGTERM", onSignal);
    process.on("SIGINT", onSignal);
  });
}

/** `catkinquay node`: runs one node until a signal stops it. */
export const nodeCommand: Command = {
  help,
  options: {
    settings: { type: "string" },
    "check-settings": { type: "boolean" },
  },
  operandsMinimum: 0,
  operandsMaximum: 0,
  usage,
  run,
};

async function run(
  { values }: ParsedCommandLine,
  output: CommandOutput,
): Promise<ExitStatus> {
  const path = values["settings"];
  if (typeof path !== "string") {
    output.writeError(`Usage: ${usage}\n`);
    return ExitStatus.Usage;
  }
  const text = await readTextFile(path, DiagnosticCode.SettingsUnreadable);
  if (text.isErr) {
    reportDiagnostics([text.error], output);
    return ExitStatus.Usage;
  }
  const settings = parseNodeSettings(text.value, path);
  if (settings.isErr) {
    reportDiagnosticsWithSubject(output, settings.error, { subject: path });
    return ExitStatus.Usage;
  }
  if (values["check-settings"] === true) {
    output.write(`The settings file "${path}" is valid\n`);
    return ExitStatus.Success;
  }
  const daemon = await createNodeDaemon(settings.value);
  if (daemon.isErr) {
    reportDiagnostics([daemon.error], output);
    return ExitStatus.Failure;
  }
  // Registers the signal handlers before the output announces that the node listens.
  const shutdown = waitForShutdown(daemon.value);
  const { callers, nodes, operators } = daemon.value.addresses;
  output.write(`${
    JSON.stringify({
      listening: {
        callers: formatAddress(callers),
        nodes: formatAddress(nodes),
        operators: formatAddress(operators),
      },
    })
  }\n`);
  const abortedCalls = await shutdown;
  return abortedCalls === 0 ? ExitStatus.Success : ExitStatus.Failure;
}
