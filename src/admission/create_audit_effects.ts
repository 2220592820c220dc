import { ZoneState } from "../configuration/zone_state.ts";
import { AuditEntryKind } from "../telemetry/audit_entry_kind.ts";
import type { AdmissionEffect } from "./admission_effect.ts";
import { AdmissionEffectKind } from "./admission_effect_kind.ts";
import type { AdmissionState } from "./admission_state.ts";

/** Creates the effects that record the changes of a step in the audit trail. */
export function createAuditEffects(
  before: AdmissionState,
  after: AdmissionState,
): readonly AdmissionEffect[] {
  return [
    ...createZoneChangeEffects(before, after),
    ...createStateChangeEffects(before, after),
  ];
}

function createStateChangeEffects(
  before: AdmissionState,
  after: AdmissionState,
): readonly AdmissionEffect[] {
  if (before.backendServerState === after.backendServerState) return [];
  return [{
    kind: AdmissionEffectKind.RecordAuditEntry,
    entry: {
      kind: AuditEntryKind.BackendServerStateChanged,
      source: "self",
      subject: after.backendServerName ?? "",
      fromState: before.backendServerState,
      toState: after.backendServerState,
      reasons: [],
    },
  }];
}

function createZoneChangeEffects(
  before: AdmissionState,
  after: AdmissionState,
): readonly AdmissionEffect[] {
  const server = after.backendServer;
  if (server === undefined) return [];
  const from = before.backendServer?.zoneState ?? ZoneState.InService;
  if (from === server.zoneState) return [];
  return [{
    kind: AdmissionEffectKind.RecordAuditEntry,
    entry: {
      kind: server.zoneState === ZoneState.TakenOut
        ? AuditEntryKind.ZoneTakenOut
        : AuditEntryKind.ZoneReturned,
      source: "self",
      subject: server.zone,
      ...(before.version === undefined ? {} : { fromVersion: before.version }),
      ...(after.version === undefined ? {} : { toVersion: after.version }),
      reasons: [],
    },
  }];
}
