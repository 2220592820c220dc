import type { MeshNode } from "./mesh_node.ts";
import type { MeshSettings } from "./mesh_settings.ts";
import { updateGate } from "./update_gate.ts";

/**
 * Puts changed allowances and times in force. Names and addresses hold for
 * the life of the process: callers and other nodes know them.
 */
export function reloadSettings(node: MeshNode, changed: MeshSettings): void {
  const { retryAllowance, coldAllowance, stopMilliseconds } = changed;
  node.settings = {
    ...node.settings,
    retryAllowance,
    coldAllowance,
    stopMilliseconds,
  };
  node.report.state("settings", {
    state: "reloaded",
    retryAllowance,
    coldAllowance,
    stopMilliseconds,
  });
  updateGate(node);
}
