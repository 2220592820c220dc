import type { MeshNode } from "./mesh_node.ts";
import type { MeshSettings } from "./mesh_settings.ts";
import { updateGate } from "./update_gate.ts";

/**
 * Applies changed allowances and times. Names and addresses stay for the
 * lifetime of the process, since callers and other nodes use them.
 */
export function reloadSettings(node: MeshNode, changed: MeshSettings): void {
  const {
    sourceBounds,
    retryAllowance,
    quotaBounds,
    coldAllowance,
    addressReuseMilliseconds,
    stopMilliseconds,
  } = changed;
  const inForce = {
    sourceBounds,
    retryAllowance,
    quotaBounds,
    coldAllowance,
    addressReuseMilliseconds,
    stopMilliseconds,
  };
  node.settings = { ...node.settings, ...inForce };
  node.report.state("settings", { state: "reloaded", ...inForce });
  updateGate(node);
}
