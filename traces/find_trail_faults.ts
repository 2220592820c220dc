import { compareVersions } from "../src/configuration/compare_versions.ts";
import type { AuditEntry } from "../src/telemetry/audit_entry.ts";
import { AuditEntryKind } from "../src/telemetry/audit_entry_kind.ts";
import type { TrailState } from "./trail_state.ts";

/**
 * Returns a message for each consistency rule of the distribution that an audit
 * entry about a configuration violates; empty if it violates none.
 */
export function findTrailFaults(
  state: TrailState,
  entry: AuditEntry,
): readonly string[] {
  const { vm, kind, fromVersion, toVersion } = entry;
  const inForce = state.inForce.get(vm);
  const highest = state.highest.get(vm);
  const isApplied = kind === AuditEntryKind.ConfigurationApplied;
  const isIgnored = kind === AuditEntryKind.ConfigurationOlderIgnored;
  const isConflict = kind === AuditEntryKind.ConfigurationConflict;
  const consistencyRules: readonly (readonly [boolean, string])[] = [
    [
      isApplied && toVersion !== undefined && highest !== undefined &&
      compareVersions(toVersion, highest) < 0,
      "applied a version older than one that was in force",
    ],
    [
      isApplied && fromVersion?.digest !== inForce?.digest,
      "replaced a version that was not in force",
    ],
    [
      isApplied && state.refusedDigests.has(toVersion?.digest ?? ""),
      "applied a version that was refused",
    ],
    [
      isIgnored && toVersion !== undefined && inForce !== undefined &&
      compareVersions(toVersion, inForce) >= 0,
      "ignored a version that is not older than the one in force",
    ],
    [
      isConflict && (toVersion?.number !== fromVersion?.number ||
        toVersion?.digest === fromVersion?.digest),
      "reported a conflict between versions that do not conflict",
    ],
  ];
  return consistencyRules
    .filter(([isViolated]) => isViolated)
    .map(([, text]) => `${vm} at ${entry.at}: ${text}`);
}
