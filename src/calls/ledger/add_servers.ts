import type { LedgerServer } from "../ledger_server.ts";

/** Adds the servers that are not in the list yet. */
export function addServers(
  servers: readonly LedgerServer[],
  added: readonly LedgerServer[],
): readonly LedgerServer[] {
  return [
    ...servers,
    ...added.filter((server) =>
      !servers.some(({ name }) => name === server.name)
    ),
  ];
}
