import { compareVersions } from "../src/configuration/compare_versions.ts";
import type { AuditEntry } from "../src/telemetry/audit_entry.ts";
import { AuditEntryKind } from "../src/telemetry/audit_entry_kind.ts";
import { findTrailFaults } from "./find_trail_faults.ts";
import type { TrailState } from "./trail_state.ts";

/** Returns the state after one more audit entry, including the faults of the entry. */
export function replayTrailEntry(
  state: TrailState,
  entry: AuditEntry,
): TrailState {
  const faults = [...state.faults, ...findTrailFaults(state, entry)];
  return { ...updateState(state, entry), faults };
}

function updateState(state: TrailState, entry: AuditEntry): TrailState {
  const { vm, toVersion, subject = "" } = entry;
  const number = String(toVersion?.number);
  if (entry.kind === AuditEntryKind.NodeStarted) {
    return {
      ...state,
      inForce: omitKey(state.inForce, vm),
      zonesTakenOut: omitKey(state.zonesTakenOut, vm),
    };
  }
  if (
    entry.kind === AuditEntryKind.ConfigurationApplied &&
    toVersion !== undefined
  ) {
    const previousHighest = state.highest.get(vm);
    const isHigher = previousHighest === undefined ||
      compareVersions(toVersion, previousHighest) > 0;
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
      refused: addToList(state.refused, number, vm),
      refusedDigests: new Set([
        ...state.refusedDigests,
        ...(toVersion === undefined ? [] : [toVersion.digest]),
      ]),
    };
  }
  if (entry.kind === AuditEntryKind.ConfigurationConflict) {
    return { ...state, conflicts: addToList(state.conflicts, number, vm) };
  }
  if (entry.kind === AuditEntryKind.ZoneTakenOut) {
    return {
      ...state,
      zonesTakenOut: addToList(state.zonesTakenOut, vm, subject),
    };
  }
  if (entry.kind === AuditEntryKind.ZoneReturned) {
    const zones = state.zonesTakenOut.get(vm) ?? [];
    const remaining = zones.filter((zone) => zone !== subject);
    return {
      ...state,
      zonesTakenOut: new Map([...state.zonesTakenOut, [vm, remaining]]),
    };
  }
  return state;
}

function addToList(
  lists: ReadonlyMap<string, readonly string[]>,
  name: string,
  item: string,
): ReadonlyMap<string, readonly string[]> {
  const list = lists.get(name) ?? [];
  return new Map([...lists, [name, [...new Set([...list, item])].sort()]]);
}

function omitKey<Value>(
  values: ReadonlyMap<string, Value>,
  name: string,
): ReadonlyMap<string, Value> {
  return new Map([...values].filter(([other]) => other !== name));
}
