import { getQuarantineEnd } from "../quarantine/get_quarantine_end.ts";
import type { MeshNode } from "./mesh_node.ts";

/** Returns for how long a request is refused; 0 if it may run. */
export function getQuarantineMilliseconds(
  node: MeshNode,
  getFingerprint: () => string,
): number {
  const { suspects } = node.quarantine;
  if (suspects.size === 0) return 0;
  const suspect = suspects.get(getFingerprint());
  return Math.max(0, getQuarantineEnd(suspect) - node.clock.now());
}
