import { getRendezvousScore } from "./get_rendezvous_score.ts";

/**
 * Returns the servers in rendezvous order for the key, the owner first; equal
 * scores are ordered by name.
 */
export function orderByRank<Server extends { readonly name: string }>(
  servers: readonly Server[],
  key: string,
): readonly Server[] {
  return servers
    .map((server) => ({ server, score: getRendezvousScore(key, server.name) }))
    .sort((left, right) =>
      left.score === right.score
        ? (left.server.name < right.server.name ? -1 : 1)
        : left.score > right.score
        ? -1
        : 1
    )
    .map(({ server }) => server);
}
