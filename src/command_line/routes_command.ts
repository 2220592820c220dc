import Table from "cli-table3";
import type { Route } from "../configuration/route.ts";
import type { Snapshot } from "../configuration/snapshot.ts";
import { formatVersion } from "../configuration/format_version.ts";
import { ZoneState } from "../configuration/zone_state.ts";
import type { Command } from "./command.ts";
import type { CommandOutput } from "./command_output.ts";
import { ExitStatus } from "./exit_status.ts";
import { loadConfiguration } from "./load_configuration.ts";
import { reportDiagnosticsWithSubject } from "./report_diagnostics_with_subject.ts";
import type { ParsedCommandLine } from "./parsed_command_line.ts";

const usage = "catkinquay routes FILE [--json]";

const help = `Usage: catkinquay routes FILE [options]

Shows the routes of a configuration document in the order in which they are
matched, and how many backend servers of each route accept new calls.

Options:
  --json      write one JSON object
  -h, --help  show this text

Example: catkinquay routes docs/samples/configuration.json

Exit status: 0 if the document is valid, 1 if it is not or cannot be read,
2 for invalid arguments.
`;

/** `catkinquay routes`: shows the routes that a document compiles to. */
export const routesCommand: Command = {
  help,
  options: { json: { type: "boolean" } },
  operandsMinimum: 1,
  operandsMaximum: 1,
  usage,
  run,
};

async function run(
  { values, operands: [path = ""] }: ParsedCommandLine,
  output: CommandOutput,
): Promise<ExitStatus> {
  const loaded = await loadConfiguration(path);
  return loaded.match({
    Ok: ({ snapshot }) => {
      output.write(
        values["json"] === true ? formatJson(snapshot) : formatTable(snapshot),
      );
      return ExitStatus.Success;
    },
    Err: (reasons) => {
      reportDiagnosticsWithSubject(output, reasons, { subject: path });
      return ExitStatus.Failure;
    },
  });
}

function formatTable(snapshot: Snapshot): string {
  const table = new Table({
    head: [
      "Host",
      "Path prefix",
      "Service",
      "Priority",
      "Deadline",
      "Idempotent methods",
      "Key",
      "Backend servers",
    ],
    style: { head: [], border: [] },
  });
  table.push(...snapshot.routes.map((route) => formatRow(snapshot, route)));
  const takenOut = [...snapshot.zones.values()]
    .filter(({ state }) => state === ZoneState.TakenOut)
    .map(({ name }) => name);
  return [
    `Version ${formatVersion(snapshot.version)}`,
    table.toString(),
    ...takenOut.length > 0 ? [`Zones taken out: ${takenOut.join(", ")}`] : [],
    "",
  ].join("\n");
}

function formatRow(snapshot: Snapshot, route: Route): string[] {
  const servers = snapshot.services.get(route.service)?.backendServers ?? [];
  const acceptingCount = countAcceptingServers(snapshot, route);
  return [
    route.host ?? "any",
    route.pathPrefix,
    route.service,
    route.priority,
    `${route.deadlineMilliseconds} ms`,
    route.idempotentMethods.join(" "),
    route.requireIdempotencyKey ? "required" : "optional",
    `${acceptingCount} of ${servers.length}`,
  ];
}

function formatJson(snapshot: Snapshot): string {
  return `${
    JSON.stringify({
      version: snapshot.version,
      routes: snapshot.routes.map((route) => ({
        ...route,
        backendServersTakingWork: countAcceptingServers(snapshot, route),
      })),
    })
  }\n`;
}

/**
 * Returns how many backend servers of a route are neither leaving nor in a zone
 * that is taken out.
 */
function countAcceptingServers(snapshot: Snapshot, { service }: Route): number {
  return (snapshot.services.get(service)?.backendServers ?? [])
    .filter(({ leaving, zone }) =>
      !leaving && snapshot.zones.get(zone)?.state === ZoneState.InService
    )
    .length;
}
