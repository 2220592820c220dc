import type { Snapshot } from "../configuration/snapshot.ts";
import { isNewerVersion } from "../configuration/is_newer_version.ts";
import { ZoneState } from "../configuration/zone_state.ts";
import { takeRegisteredServers } from "../peers/take_registered_servers.ts";
import { AuditEntryKind } from "../telemetry/audit_entry_kind.ts";
import type { Candidate } from "./candidate.ts";
import { chainSteps } from "./chain_steps.ts";
import { createAuditEffect } from "./create_audit_effect.ts";
import type { DistributionContext } from "./distribution_context.ts";
import type { DistributionEffect } from "./distribution_effect.ts";
import { DistributionEffectKind } from "./distribution_effect_kind.ts";
import type { DistributionState } from "./distribution_state.ts";
import { keepNeededParts } from "./keep_needed_parts.ts";
import { noteRecordChange } from "./note_record_change.ts";
import { pushNews } from "./push_news.ts";
import { stay } from "./stay.ts";
import type { Transition } from "./transition.ts";

/** Puts the candidate in force in one step, and tells some peers. */
export function applyCandidate(
  state: DistributionState,
  candidate: Candidate,
  context: DistributionContext,
): Transition {
  const { versions } = state;
  const { compiled, source } = candidate;
  const former = versions.inForce;
  const { version } = compiled.set;
  if (!isNewerVersion(version, former?.set.version)) {
    return stay({ ...state, versions: { ...versions, candidate: undefined } });
  }
  const isOldRefusal = isNewerVersion(version, versions.refusal?.inForce);
  const applied = keepNeededParts({
    ...state,
    versions: {
      ...versions,
      inForce: compiled,
      appliedAt: context.now,
      candidate: undefined,
      refusal: isOldRefusal ? undefined : versions.refusal,
      conflict: version.number === versions.conflict?.number
        ? versions.conflict
        : undefined,
    },
    peers: takeRegisteredServers(
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
      fromVersion: former?.set.version,
      toVersion: version,
      source,
      reasons: [],
    }),
    ...createZoneEffects(former?.snapshot, compiled.snapshot),
  ];
  return chainSteps(applied, [
    (current) => ({ state: current, effects }),
    (current) => stay(noteRecordChange(current, { version }, context)),
    (current) => pushNews(current, context),
  ]);
}

function createZoneEffects(
  former: Snapshot | undefined,
  current: Snapshot,
): readonly DistributionEffect[] {
  return [...current.zones.values()]
    .map((zone) => ({
      zone,
      formerState: former?.zones.get(zone.name)?.state ?? ZoneState.InService,
    }))
    .filter(({ zone, formerState }) => zone.state !== formerState)
    .map(({ zone, formerState }) =>
      createAuditEffect({
        kind: zone.state === ZoneState.TakenOut
          ? AuditEntryKind.ZoneTakenOut
          : AuditEntryKind.ZoneReturned,
        fromVersion: former?.version,
        toVersion: current.version,
        source: "self",
        subject: zone.name,
        fromState: formerState,
        toState: zone.state,
        reasons: [],
      })
    );
}
