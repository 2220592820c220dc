import { getQuarantineEnd } from "../quarantine/get_quarantine_end.ts";
import type { MeshNode } from "./mesh_node.ts";

/** Returns for how long a request is refused; 0 if it may run. */
export function getQuarantineMilliseconds(
  node: MeshNode,
  fingerprint: string,
): number {
  const suspect = node.quarantine.suspects.get(fingerprint);
  return Math.max(0, getQuarantineEnd(suspect) - node.clock.now());
}
