import { findOwnServerRecord } from "./find_own_server_record.ts";
import type { MeshNode } from "./mesh_node.ts";

/**
 * Returns the incarnation of this VM's backend server. The identifier that the
 * backend server reported takes precedence over the register.
 */
export function getOwnServerIdentifier(node: MeshNode): string | undefined {
  return node.serverProbe.probedIdentifier ??
    findOwnServerRecord(node)?.entry.identifier;
}
