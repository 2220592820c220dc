import type { MeshNode } from "./mesh_node.ts";
import type { MeshSettings } from "./mesh_settings.ts";
import { updateGate } from "./update_gate.ts";

/**
 * Puts changed allowances and times in force. Names and addresses hold for
 * the life of the process: callers and other nodes know them.
 */
export function reloadSettings(node: MeshNode, changed: MeshSettings): void {
  const { sourceBounds, retryAllowance, coldAllowance, stopMilliseconds } =
    changed;
  const inForce = {
    sourceBounds,
    retryAllowance,
    coldAllowance,
    stopMilliseconds,
  };
  node.settings = { ...node.settings, ...inForce };
  node.report.state("settings", { state: "reloaded", ...inForce });
  updateGate(node);
}
