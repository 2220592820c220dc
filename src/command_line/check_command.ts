import type { Result } from "true-myth";
import { compareConfigurations } from "../configuration/compare_configurations.ts";
import type { CompiledConfiguration } from "../configuration/compiled_configuration.ts";
import type { Snapshot } from "../configuration/snapshot.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { formatDiagnostic } from "../diagnostics/format_diagnostic.ts";
import { tryParseAddress } from "../runtime/try_parse_address.ts";
import type { Command } from "./command.ts";
import type { CommandOutput } from "./command_output.ts";
import { ExitStatus } from "./exit_status.ts";
import { fetchConfiguration } from "./fetch_configuration.ts";
import { loadConfiguration } from "./load_configuration.ts";
import type { ParsedCommandLine } from "./parsed_command_line.ts";
import { reportDiagnosticsWithSubject } from "./report_diagnostics_with_subject.ts";

const usage =
  "catkinquay check FILE… [--against FILE|ADDRESS] [--expect NAME]… [--json]";

const help = `Usage: catkinquay check FILE… [options]

Checks configuration documents as every node does, before they are published.

Options:
  --against FILE|ADDRESS  also compare with the version in force, read from a
                          file or from the operators' listener of a node
                          (HOST:PORT): the number must be higher, and nothing
                          may be removed or returned to service
  --expect NAME           allow this zone, service, backend server or route to
                          be removed or returned to service; can be repeated
  --json                  write one JSON object for each file
  -h, --help              show this text

Example: catkinquay check next.json --against 127.0.0.1:6001 --expect sul-a

Exit status: 0 if every document can be published, 1 if one cannot or an input
cannot be read, 2 for invalid arguments.
`;

interface CheckOptions {
  readonly inForce: Snapshot | undefined;
  readonly expected: ReadonlySet<string>;
  readonly json: boolean;
}

/** `catkinquay check`: validates configuration documents before publication. */
export const checkCommand: Command = {
  help,
  options: {
    against: { type: "string" },
    expect: { type: "string", multiple: true },
    json: { type: "boolean" },
  },
  operandsMinimum: 1,
  operandsMaximum: Infinity,
  usage,
  run,
};

async function run(
  { values, operands }: ParsedCommandLine,
  output: CommandOutput,
): Promise<ExitStatus> {
  const against = getStringOption(values["against"]);
  const inForce = against === undefined
    ? undefined
    : await loadVersionInForce(against);
  if (inForce?.isErr) {
    reportDiagnosticsWithSubject(output, inForce.error, {
      subject: against ?? "",
    });
    return ExitStatus.Failure;
  }
  return checkFiles(operands, output, {
    inForce: inForce?.value.snapshot,
    expected: new Set([values["expect"] ?? []].flat().map(String)),
    json: values["json"] === true,
  });
}

function getStringOption(
  value: ParsedCommandLine["values"][string],
): string | undefined {
  return typeof value === "string" ? value : undefined;
}

function loadVersionInForce(
  against: string,
): Promise<Result<CompiledConfiguration, readonly Diagnostic[]>> {
  return tryParseAddress(against) === undefined
    ? loadConfiguration(against)
    : fetchConfiguration(against);
}

async function checkFiles(
  paths: readonly string[],
  output: CommandOutput,
  options: CheckOptions,
): Promise<ExitStatus> {
  const loaded = await Promise.all(paths.map(loadConfiguration));
  const passed = loaded.map((configuration, index) =>
    reportFile(configuration, output, { ...options, path: paths[index] ?? "" })
  );
  return passed.every(Boolean) ? ExitStatus.Success : ExitStatus.Failure;
}

/** Writes the result for one file. Returns whether the document can be published. */
function reportFile(
  loaded: Result<CompiledConfiguration, readonly Diagnostic[]>,
  output: CommandOutput,
  options: CheckOptions & { readonly path: string },
): boolean {
  const { path, inForce, expected } = options;
  const snapshot = loaded.isOk ? loaded.value.snapshot : undefined;
  const diagnostics = loaded.match({
    Ok: (next) =>
      inForce === undefined
        ? []
        : compareConfigurations(inForce, next.snapshot).filter((diagnostic) =>
          !expected.has(diagnostic.path)
        ),
    Err: (reasons) => reasons,
  });
  if (options.json) {
    output.write(
      `${
        JSON.stringify({
          file: path,
          version: snapshot?.version ?? null,
          diagnostics: diagnostics.map((diagnostic) => ({
            ...diagnostic,
            message: formatDiagnostic(diagnostic),
          })),
        })
      }\n`,
    );
  } else if (diagnostics.length > 0 || snapshot === undefined) {
    reportDiagnosticsWithSubject(output, diagnostics, { subject: path });
  } else {
    output.write(`${path}: ${describeSnapshot(snapshot)}\n`);
  }
  return diagnostics.length === 0;
}

function describeSnapshot(snapshot: Snapshot): string {
  const { version, zones, services, backendServers, routes } = snapshot;
  return [
    `version ${version.number}, digest ${version.digest}`,
    `${zones.size} zones`,
    `${services.size} services`,
    `${backendServers.size} backend servers`,
    `${routes.length} routes`,
  ].join(", ");
}
