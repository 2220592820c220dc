import Table from "cli-table3";
import { formatVersion } from "../configuration/format_version.ts";
import type { Version } from "../configuration/version.ts";
import type { NodeStatus } from "../daemon/node_status.ts";
import { formatDiagnostic } from "../diagnostics/format_diagnostic.ts";
import type { PeerRecord } from "../peers/peer_record.ts";
import { formatInstant } from "./format_instant.ts";

const millisecondsPerSecond = 1_000;
const none = "none";

function formatOptionalVersion(version: Version | null | undefined): string {
  return version ? formatVersion(version) : none;
}

function createSummaryRows(status: NodeStatus): readonly (readonly string[])[] {
  const distribution = status.distribution;
  const inForceSince = distribution.appliedAt === undefined
    ? ""
    : `, in force since ${formatInstant(distribution.appliedAt)}`;
  const backendServer = status.backendServer;
  const uptimeSeconds = Math.round(
    (status.at - status.startedAt) / millisecondsPerSecond,
  );
  return [
    ["node", `${status.vm} in zone ${status.zone}, up ${uptimeSeconds} s`],
    ["state", status.state],
    ["version", `${formatOptionalVersion(status.version)}${inForceSince}`],
    ["zones taken out", status.zonesTakenOut.join(", ") || none],
    [
      "backend server",
      backendServer === null
        ? none
        : `${backendServer.name}: ${backendServer.backendServerState}, ` +
          `${backendServer.running} of ${backendServer.limit} running, ${backendServer.queued} queued`,
    ],
    [
      "platform",
      distribution.platformReachable === undefined
        ? "not contacted yet"
        : distribution.platformReachable
        ? "reachable"
        : "unreachable",
    ],
    [
      "reader",
      `${
        distribution.isReader ? "yes" : "no"
      }, ${distribution.platformReads} reads since the start`,
    ],
    [
      "calls",
      `${status.calls.received} received, ${status.calls.answeredWhole} answered, ` +
      `${status.calls.refusedNotRun} not run, ${status.calls.refusedUnknown} unknown, ` +
      `${status.calls.abandoned} abandoned, ${status.calls.running} running`,
    ],
    [
      "refusals",
      Object.entries(status.calls.refusalsByReason)
        .map(([reason, count]) => `${reason} ${count}`).join(", ") || none,
    ],
  ];
}

function formatRefusedVersion(status: NodeStatus): readonly string[] {
  const refused = status.distribution.refused;
  if (refused === undefined) {
    return [];
  }
  return [
    `Refused version ${formatOptionalVersion(refused.version)}:`,
    ...refused.reasons.map((reason) => `  ${formatDiagnostic(reason)}`),
  ];
}

function createPeerRow(peer: PeerRecord): string[] {
  return [
    peer.vm,
    peer.zone,
    peer.state,
    peer.backendServerState,
    String(peer.freeSlots),
    formatOptionalVersion(peer.version),
  ];
}

/** Formats the status of a node for display. */
export function formatNodeStatus(status: NodeStatus): string {
  const rows = createSummaryRows(status);
  const width = Math.max(...rows.map(([name = ""]) => name.length));
  const peers = new Table({
    head: ["peer", "zone", "state", "backend server", "free slots", "version"],
    style: { head: [], border: [] },
  });
  [...status.peers]
    .sort((left, right) =>
      left.vm.localeCompare(right.vm, "en", { numeric: true })
    )
    .forEach((peer) => peers.push(createPeerRow(peer)));
  return [
    ...rows.map(([name = "", value = ""]) => `${name.padEnd(width)}  ${value}`),
    ...formatRefusedVersion(status),
    peers.toString(),
    "",
  ].join("\n");
}
