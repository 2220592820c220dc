import type { AuditEntry } from "../src/telemetry/audit_entry.ts";

/** Returns the entries of an audit trail with one JSON document per line. */
export function parseTrail(text: string): readonly AuditEntry[] {
  return text
    .split("\n")
    .filter((line) => line !== "")
    .map((line) => JSON.parse(line) as AuditEntry);
}
