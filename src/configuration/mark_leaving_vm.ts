import type { Snapshot } from "./snapshot.ts";

/** Returns the snapshot with the backend server on a VM marked as leaving. */
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
