import type { Snapshot } from "../configuration/snapshot.ts";
import { isNewerVersion } from "../configuration/is_newer_version.ts";
import { ZoneState } from "../configuration/zone_state.ts";
import { applyRegisteredServers } from "../peers/apply_registered_servers.ts";
import { AuditEntryKind } from "../telemetry/audit_entry_kind.ts";
import type { Candidate } from "./candidate.ts";
import { chainSteps } from "./chain_steps.ts";
import { createAuditEffect } from "./create_audit_effect.ts";
import type { DistributionContext } from "./distribution_context.ts";
import type { DistributionEffect } from "./distribution_effect.ts";
import { DistributionEffectKind } from "./distribution_effect_kind.ts";
import type { DistributionState } from "./distribution_state.ts";
import { removeUnusedParts } from "./remove_unused_parts.ts";
import { updateOwnRecord } from "./update_own_record.ts";
import { pushChanges } from "./push_changes.ts";
import { createTransition } from "./create_transition.ts";
import type { Transition } from "./transition.ts";

/**
 * Puts the candidate in force in one step and pushes the change to a few peers.
 * A candidate that is not newer than the version in force is dropped.
 */
export function applyCandidate(
  state: DistributionState,
  candidate: Candidate,
  context: DistributionContext,
): Transition {
  const { versions } = state;
  const { compiled, source } = candidate;
  const previous = versions.inForce;
  const { version } = compiled.set;
  if (!isNewerVersion(version, previous?.set.version)) {
    return createTransition({
      ...state,
      versions: { ...versions, candidate: undefined },
    });
  }
  const isRefusalObsolete = isNewerVersion(version, versions.refusal?.inForce);
  const applied = removeUnusedParts({
    ...state,
    versions: {
      ...versions,
      inForce: compiled,
      appliedAt: context.now,
      candidate: undefined,
      refusal: isRefusalObsolete ? undefined : versions.refusal,
      conflict: version.number === versions.conflict?.number
        ? versions.conflict
        : undefined,
    },
    peers: applyRegisteredServers(
      state.peers,
      compiled.snapshot.backendServers.values(),
    ),
  });
  const effects: readonly DistributionEffect[] = [
    {
      kind: DistributionEffectKind.ApplySnapshot,
      snapshot: compiled.snapshot,
    },
    createAuditEffect({
      kind: AuditEntryKind.ConfigurationApplied,
      fromVersion: previous?.set.version,
      toVersion: version,
      source,
      reasons: [],
    }),
    ...createZoneEffects(previous?.snapshot, compiled.snapshot),
  ];
  return chainSteps(applied, [
    (current) => ({ state: current, effects }),
    (current) =>
      createTransition(updateOwnRecord(current, { version }, context)),
    (current) => pushChanges(current, context),
  ]);
}

function createZoneEffects(
  previous: Snapshot | undefined,
  current: Snapshot,
): readonly DistributionEffect[] {
  return [...current.zones.values()]
    .map((zone) => ({
      zone,
      previousState: previous?.zones.get(zone.name)?.state ??
        ZoneState.InService,
    }))
    .filter(({ zone, previousState }) => zone.state !== previousState)
    .map(({ zone, previousState }) =>
      createAuditEffect({
        kind: zone.state === ZoneState.TakenOut
          ? AuditEntryKind.ZoneTakenOut
          : AuditEntryKind.ZoneReturned,
        fromVersion: previous?.version,
        toVersion: current.version,
        source: "self",
        subject: zone.name,
        fromState: previousState,
        toState: zone.state,
        reasons: [],
      })
    );
}
