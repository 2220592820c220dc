import type { AuditEntry } from "../src/telemetry/audit_entry.ts";
import { replayTrailEntry } from "./replay_trail_entry.ts";
import type { TrailOutcome } from "./trail_outcome.ts";
import type { TrailState } from "./trail_state.ts";

const initialState: TrailState = {
  inForce: new Map(),
  highest: new Map(),
  refused: new Map(),
  conflicts: new Map(),
  zonesTakenOut: new Map(),
  refusedDigests: new Set(),
  faults: [],
};

/** Replays the audit entries of all nodes of a deployment, which must be in order of time. */
export function replayTrail(entries: readonly AuditEntry[]): TrailOutcome {
  const finalState = entries.reduce(replayTrailEntry, initialState);
  const versions = [...finalState.inForce].sort(([left], [right]) =>
    left.localeCompare(right)
  );
  const digests = versions.map(([, version]) => version.digest);
  const zones = [...finalState.zonesTakenOut].filter(([, list]) =>
    list.length > 0
  );
  return {
    inForce: Object.fromEntries(
      versions.map(([vm, version]) => [vm, version.number]),
    ),
    contentsInForce: new Set(digests).size,
    refusedBy: Object.fromEntries(finalState.refused),
    conflictSeenBy: Object.fromEntries(finalState.conflicts),
    zonesTakenOut: Object.fromEntries(zones),
    faults: finalState.faults,
  };
}
