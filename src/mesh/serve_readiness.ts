import type { ServerResponse } from "node:http";
import type { MeshNode } from "./mesh_node.ts";

const readyStatus = 200;
const notReadyStatus = 503;

/**
 * Responds with whether callers on this VM may send new calls: only with rules
 * in force, and not while stopping.
 */
export function serveReadiness(node: MeshNode, response: ServerResponse): void {
  const isReady = node.view.rules !== undefined &&
    !node.isLearningWithdrawals && !node.stopping;
  response.writeHead(isReady ? readyStatus : notReadyStatus).end();
}
