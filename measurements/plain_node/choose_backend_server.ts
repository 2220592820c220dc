import type { BackendServer } from "../../src/configuration/backend_server.ts";
import type { Snapshot } from "../../src/configuration/snapshot.ts";
import { ZoneState } from "../../src/configuration/zone_state.ts";

/** Draws one backend server of the service among those in zones in service; undefined where there is none. */
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
