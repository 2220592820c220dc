import type { MeshNode } from "./mesh_node.ts";

/** How far the clocks of two VMs may be apart. */
const clockDifferenceMilliseconds = 5_000;

/**
 * Returns the hosts whose backend servers were registered so recently that some
 * nodes may not know of them. Where the process alone was restarted, the host
 * is none of them.
 */
export function listNewHosts(
  node: MeshNode,
  { handoverMilliseconds }: { readonly handoverMilliseconds: number },
): ReadonlySet<string> {
  const newSince = node.clock.now() - handoverMilliseconds -
    clockDifferenceMilliseconds;
  const entries = Array.from(
    node.view.register.values(),
    ({ entry }) => entry,
  );
  const knownHosts = new Set(
    entries.filter(({ bornAt }) => bornAt <= newSince)
      .map(({ address }) => address.host),
  );
  return new Set(
    entries.map(({ address }) => address.host)
      .filter((host) => !knownHosts.has(host)),
  );
}
