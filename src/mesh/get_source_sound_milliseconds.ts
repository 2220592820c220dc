import type { MeshNode } from "./mesh_node.ts";

/**
 * Returns the time in milliseconds for which the source has answered without a
 * failure; -1 while it does not.
 */
export function getSourceSoundMilliseconds(node: MeshNode): number {
  const soundSince = node.view.sourceSoundSince;
  return Number.isFinite(soundSince)
    ? Math.round(node.clock.now() - soundSince)
    : -1;
}
