import type { Snapshot } from "./snapshot.ts";

/**
 * Returns a copy of the snapshot in which the backend server on `vm` is marked
 * as leaving in `backendServers`.
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
