import type { Snapshot } from "./snapshot.ts";

/**
 * Returns a copy of the snapshot whose `backendServers` mark the backend server
 * on `vm` as leaving; its `services` are unchanged.
 */
export function markLeavingVm(snapshot: Snapshot, vm: string): Snapshot {
  return {
    ...snapshot,
    backendServers: new Map(
      [...snapshot.backendServers].map(([name, server]) => [
        name,
        server.vm === vm ? { ...server, leaving: true } : server,
      ]),
    ),
  };
}
