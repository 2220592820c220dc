import type { MeshNode } from "./mesh_node.ts";

/**
 * Records a crash of the backend server of this VM. `running` has the
 * fingerprints of the requests that it was running.
 */
export function recordServerCrash(
  node: MeshNode,
  running: readonly string[],
): void {
  node.report.state("backend-server", { crashed: true, running });
}
