import type { MeshView } from "./mesh_view.ts";

/** Creates the view of a node that has received no configuration yet. */
export function createMeshView(): MeshView {
  return {
    rules: undefined,
    routes: new Map(),
    organisationsByKeyHash: new Map(),
    register: new Map(),
    recordsByService: new Map(),
    candidatesVersion: 0,
    zonesTakenOut: new Set(),
    sourceEra: undefined,
    heldZoneKeys: new Set(),
    heldZonesUntil: 0,
    revisions: new Map(),
    zonesByKey: new Map(),
    serverIdentifiersByKey: new Map(),
    sourceAvailableSince: Number.POSITIVE_INFINITY,
  };
}
