import type { MeshView } from "./mesh_view.ts";

/** Creates the view of a node that has heard nothing yet. */
export function createMeshView(): MeshView {
  return {
    rules: undefined,
    routes: new Map(),
    register: new Map(),
    recordsOfService: new Map(),
    zonesTakenOut: new Set(),
    revisions: new Map(),
    zoneKeys: new Map(),
    serverKeys: new Map(),
    sourceSoundSince: Number.POSITIVE_INFINITY,
  };
}
