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
import type { ParsedCommandLine } from "./parsed_command_line.ts";

const usage = "catkinquay node --settings FILE [--check-settings]";

const help = `Usage: ${usage}

Runs one node beside its backend server until SIGTERM or SIGINT. The first
signal shuts down gracefully; a second one, or the drain deadline, ends at once.

  --settings FILE    the settings, in JSON
  --check-settings   check the settings and end
  -h, --help         show this text

Exit status: 0 after a shutdown that cut no call, 1 after a failure or a
shutdown that cut calls, 2 for wrong arguments or settings.
`;

function waitForStop(daemon: NodeDaemon): Promise<number> {
  return new Promise((resolve) => {
    let signals = 0;
    function onSignal(): void {
      signals += 1;
      if (signals > 1) {
        daemon.abort();
        return;
      }
      daemon.stop().then(resolve);
    }
    process.on("SIGTERM", onSignal);
    process.on("SIGINT", onSignal);
  });
}

/** `catkinquay node`: runs one node. */
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
    reportDiagnostics(settings.error, output);
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
  // Signals are heard before anybody learns that the node listens.
  const stopped = waitForStop(daemon.value);
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
  const cut = await stopped;
  return cut === 0 ? ExitStatus.Success : ExitStatus.Failure;
}
