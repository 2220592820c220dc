import { HolderKind } from "../address_holder/holder_kind.ts";
import { findOwnServerRecord } from "./find_own_server_record.ts";
import type { MeshNode } from "./mesh_node.ts";

/**
 * Returns the incarnation of this VM's backend server. The one that answers takes
 * precedence over the register if it is known to belong to the node's service.
 */
export function getOwnServerIdentifier(node: MeshNode): string | undefined {
  const { kind, latest } = node.addressHolder;
  return kind === HolderKind.Own
    ? latest?.identifier
    : findOwnServerRecord(node)?.entry.identifier;
}
