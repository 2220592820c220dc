import type { MeshNode } from "./mesh_node.ts";

/** How far the clocks of two VMs may be apart. */
const clockDifferenceMilliseconds = 5_000;

/**
 * Whether the backend server of this VM was registered so recently that other
 * nodes may not know of it. False if the process alone was restarted.
 */
export function isNewHost(
  node: MeshNode,
  { handoverMilliseconds }: { readonly handoverMilliseconds: number },
): boolean {
  const ownHost = node.settings.backendServer.host;
  const bornAt = Array.from(node.view.register.values())
    .filter(({ entry }) => entry.address.host === ownHost)
    .reduce(
      (earliest, { entry }) => Math.min(earliest, entry.bornAt),
      Number.POSITIVE_INFINITY,
    );
  return bornAt >
    node.clock.now() - handoverMilliseconds - clockDifferenceMilliseconds;
}
