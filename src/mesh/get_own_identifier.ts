import { findOwnRecord } from "./find_own_record.ts";
import type { MeshNode } from "./mesh_node.ts";

/** Returns the incarnation of this VM's backend server: what it said itself goes before the register. */
export function getOwnIdentifier(node: MeshNode): string | undefined {
  return node.serverWatch.probedIdentifier ??
    findOwnRecord(node)?.entry.identifier;
}
