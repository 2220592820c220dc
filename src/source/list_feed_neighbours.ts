/** Number of neighbours considered before a node reads the source itself. */
const candidateNeighboursMaximum = 3;

/**
 * Returns the hosts whose feed a node may follow, in the order in which all
 * nodes of the zone prefer them.
 */
export function listFeedNeighbours(
  hosts: readonly string[],
  options: { readonly ownHost: string },
): readonly string[] {
  return [...new Set(hosts)].sort()
    .filter((host) => host !== options.ownHost)
    .slice(0, candidateNeighboursMaximum);
}
