import type { LedgerServer } from "../ledger_server.ts";

/** Adds servers that are not listed yet. */
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
