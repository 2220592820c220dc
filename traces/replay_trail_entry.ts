import { compareVersions } from "../src/configuration/compare_versions.ts";
import type { AuditEntry } from "../src/telemetry/audit_entry.ts";
import { AuditEntryKind } from "../src/telemetry/audit_entry_kind.ts";
import { findTrailFaults } from "./find_trail_faults.ts";
import type { TrailState } from "./trail_state.ts";

/** Replays one entry of an audit trail. */
export function stepTrail(state: TrailState, entry: AuditEntry): TrailState {
  const faults = [...state.faults, ...findTrailFaults(state, entry)];
  return { ...replay(state, entry), faults };
}

function replay(state: TrailState, entry: AuditEntry): TrailState {
  const { vm, toVersion, subject = "" } = entry;
  const number = String(toVersion?.number);
  if (entry.kind === AuditEntryKind.NodeStarted) {
    return {
      ...state,
      inForce: without(state.inForce, vm),
      zonesTakenOut: without(state.zonesTakenOut, vm),
    };
  }
  if (
    entry.kind === AuditEntryKind.ConfigurationApplied &&
    toVersion !== undefined
  ) {
    const before = state.highest.get(vm);
    const isHigher = before === undefined ||
      compareVersions(toVersion, before) > 0;
    return {
      ...state,
      inForce: new Map([...state.inForce, [vm, toVersion]]),
      highest: isHigher
        ? new Map([...state.highest, [vm, toVersion]])
        : state.highest,
    };
  }
  if (entry.kind === AuditEntryKind.ConfigurationRefused) {
    return {
      ...state,
      refused: add(state.refused, number, vm),
      refusedDigests: new Set([
        ...state.refusedDigests,
        ...(toVersion === undefined ? [] : [toVersion.digest]),
      ]),
    };
  }
  if (entry.kind === AuditEntryKind.ConfigurationConflict) {
    return { ...state, conflicts: add(state.conflicts, number, vm) };
  }
  if (entry.kind === AuditEntryKind.ZoneTakenOut) {
    return { ...state, zonesTakenOut: add(state.zonesTakenOut, vm, subject) };
  }
  if (entry.kind === AuditEntryKind.ZoneReturned) {
    const zones = state.zonesTakenOut.get(vm) ?? [];
    const left = zones.filter((zone) => zone !== subject);
    return {
      ...state,
      zonesTakenOut: new Map([...state.zonesTakenOut, [vm, left]]),
    };
  }
  return state;
}

function add(
  lists: ReadonlyMap<string, readonly string[]>,
  name: string,
  item: string,
): ReadonlyMap<string, readonly string[]> {
  const list = lists.get(name) ?? [];
  return new Map([...lists, [name, [...new Set([...list, item])].sort()]]);
}

function without<Value>(
  values: ReadonlyMap<string, Value>,
  name: string,
): ReadonlyMap<string, Value> {
  return new Map([...values].filter(([other]) => other !== name));
}
