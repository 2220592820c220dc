import type { BackendServer } from "../configuration/backend_server.ts";
import type { Snapshot } from "../configuration/snapshot.ts";
import type { LedgerRegister } from "./ledger_register.ts";
import type { LedgerServer } from "./ledger_server.ts";
import type { RemovedLedgerServer } from "./removed_ledger_server.ts";

/**
 * Returns the ledger's register after a new snapshot. While the ledger's own
 * server was not in the register, or belonged to another service, other ledgers
 * did not query it before they ran a key, so it starts to cover keys anew.
 */
export function updateLedgerRegister(
  register: LedgerRegister,
  snapshot: Snapshot,
  options: {
    /** Name of the backend server beside this node. */
    readonly self: string;
    readonly now: number;
    readonly keyLifetimeMilliseconds: number;
  },
): LedgerRegister {
  const { self, now } = options;
  const found = snapshot.backendServers.get(self);
  const registered = found === undefined
    ? []
    : snapshot.services.get(found.service)?.backendServers ?? [];
  const isNewOwner = found !== undefined &&
    (register.own === undefined || register.service !== found.service);
  return {
    service: found?.service ?? register.service,
    own: found && getLedgerServer(found),
    servers: registered.map(getLedgerServer),
    removed: updateRemovedServers(register, registered, options),
    ledgerSince: isNewOwner ? now : register.ledgerSince,
  };
}

function getLedgerServer(server: BackendServer): LedgerServer {
  const { name, vm, nodeAddress } = server;
  return { name, vm, nodeAddress };
}

/**
 * Adds the servers that have left the register. Drops those that have been
 * added again, and those whose keys have all expired.
 */
function updateRemovedServers(
  register: LedgerRegister,
  registered: readonly BackendServer[],
  options: { readonly now: number; readonly keyLifetimeMilliseconds: number },
): readonly RemovedLedgerServer[] {
  const { now, keyLifetimeMilliseconds } = options;
  const names = new Set(registered.map(({ name }) => name));
  return [
    ...register.removed,
    ...register.servers.map((server) => ({ server, removedAt: now })),
  ].filter(({ server, removedAt }) =>
    !names.has(server.name) && now < removedAt + keyLifetimeMilliseconds
  );
}
