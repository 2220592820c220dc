import type { BackendServer } from "../../src/configuration/backend_server.ts";
import type { Snapshot } from "../../src/configuration/snapshot.ts";
import { ZoneState } from "../../src/configuration/zone_state.ts";

/**
 * Returns a backend server of the service whose zone is in service, or undefined
 * if there is none. `random`, from 0 to below 1, determines the choice.
 */
export function chooseBackendServer(
  snapshot: Snapshot,
  options: { readonly service: string; readonly random: number },
): BackendServer | undefined {
  const candidates = (snapshot.services.get(options.service)?.backendServers ??
    []).filter((server) =>
      !server.leaving &&
      snapshot.zones.get(server.zone)?.state === ZoneState.InService
    );
  return candidates[Math.floor(options.random * candidates.length)];
}
