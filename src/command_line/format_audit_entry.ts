import { formatVersion } from "../configuration/format_version.ts";
import { formatDiagnostic } from "../diagnostics/format_diagnostic.ts";
import type { AuditEntry } from "../telemetry/audit_entry.ts";
import { formatInstant } from "./format_instant.ts";

function formatChange(
  from: string | undefined,
  to: string | undefined,
): readonly string[] {
  if (from === undefined && to === undefined) {
    return [];
  }
  return [`${from ?? "none"} to ${to ?? "none"}`];
}

/** Formats an audit entry for display: one line for the entry and one for each reason. */
export function formatAuditEntry(entry: AuditEntry): string {
  const parts = [
    formatInstant(entry.at),
    entry.vm,
    entry.kind,
    ...(entry.subject === undefined ? [] : [entry.subject]),
    ...formatChange(
      entry.fromVersion && formatVersion(entry.fromVersion),
      entry.toVersion && formatVersion(entry.toVersion),
    ),
    ...formatChange(entry.fromState, entry.toState),
    `from ${entry.source}`,
  ];
  return [
    parts.join("  "),
    ...entry.reasons.map((reason) => `  ${formatDiagnostic(reason)}`),
    "",
  ].join("\n");
}
