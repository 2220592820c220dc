import { isSameVersion } from "../configuration/is_same_version.ts";
import type { Version } from "../configuration/version.ts";
import { AuditEntryKind } from "../telemetry/audit_entry_kind.ts";
import { createAuditEffect } from "./create_audit_effect.ts";
import type { DistributionState } from "./distribution_state.ts";
import { createTransition } from "./create_transition.ts";
import type { Transition } from "./transition.ts";

/**
 * Records a conflict if a received version has the number in force but
 * different content. Which of the two stays in force is determined by the order
 * of versions alone.
 */
export function recordVersionConflict(
  state: DistributionState,
  received: { readonly version: Version | undefined; readonly source: string },
): Transition {
  const { versions } = state;
  const inForce = versions.inForce?.set.version;
  const isConflict = received.version !== undefined && inForce !== undefined &&
    received.version.number === inForce.number &&
    !isSameVersion(received.version, inForce);
  if (!isConflict || isSameVersion(versions.conflict, received.version)) {
    return createTransition(state);
  }
  return {
    state: { ...state, versions: { ...versions, conflict: received.version } },
    effects: [createAuditEffect({
      kind: AuditEntryKind.ConfigurationConflict,
      fromVersion: inForce,
      toVersion: received.version,
      source: received.source,
      reasons: [],
    })],
  };
}
