import { isSameVersion } from "../configuration/is_same_version.ts";
import type { Version } from "../configuration/version.ts";
import { AuditEntryKind } from "../telemetry/audit_entry_kind.ts";
import { createAuditEffect } from "./create_audit_effect.ts";
import type { DistributionState } from "./distribution_state.ts";
import { stay } from "./stay.ts";
import type { Transition } from "./transition.ts";

/**
 * Raises a conflict where a version is offered that has the number of the one
 * in force and another content. Which of the two stays in force follows from
 * their order alone.
 */
export function noteVersionOffered(
  state: DistributionState,
  offer: { readonly version: Version | undefined; readonly source: string },
): Transition {
  const { versions } = state;
  const inForce = versions.inForce?.set.version;
  const isConflict = offer.version !== undefined && inForce !== undefined &&
    offer.version.number === inForce.number &&
    !isSameVersion(offer.version, inForce);
  if (!isConflict || isSameVersion(versions.conflict, offer.version)) {
    return stay(state);
  }
  return {
    state: { ...state, versions: { ...versions, conflict: offer.version } },
    effects: [createAuditEffect({
      kind: AuditEntryKind.ConfigurationConflict,
      fromVersion: inForce,
      toVersion: offer.version,
      source: offer.source,
      reasons: [],
    })],
  };
}
