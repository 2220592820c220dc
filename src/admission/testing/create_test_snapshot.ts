import type { BackendServer } from "../../configuration/backend_server.ts";
import type { Snapshot } from "../../configuration/snapshot.ts";
import { ZoneState } from "../../configuration/zone_state.ts";

const address = { host: "127.0.0.1", port: 9 };

/** Creates a snapshot with the one backend server `encomendas-1` in the zone `sul-a`. */
export function createTestSnapshot(
  options: Partial<BackendServer> & { readonly zoneState?: ZoneState } = {},
): Snapshot {
  const { zoneState = ZoneState.InService, ...overrides } = options;
  const server: BackendServer = {
    name: "encomendas-1",
    service: "encomendas",
    zone: "sul-a",
    vm: "vm-1",
    address,
    nodeAddress: address,
    slots: 6,
    coldSlots: 2,
    connections: 120,
    leaving: false,
    ...overrides,
  };
  return {
    version: { number: 1, digest: "0".repeat(64) },
    zones: new Map([
      [server.zone, { name: server.zone, region: "sul", state: zoneState }],
    ]),
    services: new Map([
      [server.service, { name: server.service, backendServers: [server] }],
    ]),
    backendServers: new Map([[server.name, server]]),
    routes: [],
    retryBudgetPercent: 10,
  };
}
