import type { IncomingMessage } from "node:http";
import { isOwnVmConnection } from "./is_own_vm_connection.ts";
import type { MeshNode } from "./mesh_node.ts";

/**
 * Whether the backend server of this VM makes a call for a call that it runs: it
 * comes from this VM while the backend server is at work, on a route whose
 * callers have no time for a retry.
 *
 * The first calls of a route after a start of the node count so until one comes
 * with more time, and so do those of another program on this VM that leaves as
 * little time.
 */
export function isNestedCall(
  node: MeshNode,
  options: {
    readonly request: IncomingMessage;
    /** Whether callers of the route can retry after a refusal. */
    readonly mayComeBack: boolean;
  },
): boolean {
  const { request, mayComeBack } = options;
  return !mayComeBack && node.gate.running.size > 0 &&
    isOwnVmConnection(request.socket.remoteAddress, {
      host: node.settings.backendServer.host,
    });
}
