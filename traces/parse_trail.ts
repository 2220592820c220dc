import type { AuditEntry } from "../src/telemetry/audit_entry.ts";

/** Returns the entries of an audit trail, one line of JSON each. */
export function parseTrail(text: string): readonly AuditEntry[] {
  return text
    .split("\n")
    .filter((line) => line !== "")
    .map((line) => JSON.parse(line) as AuditEntry);
}
