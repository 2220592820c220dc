import { createGateView } from "../../balancing/create_gate_view.ts";
import { createServiceCandidates } from "../../balancing/create_service_candidates.ts";
import { createServiceLoad } from "../../balancing/create_service_load.ts";
import type { ServiceCandidates } from "../../balancing/service_candidates.ts";
import type { ModelledServer } from "./modelled_server.ts";

/** Creates what the node beside `own` knows of the backend servers. */
export function createModelledCandidates(
  servers: readonly ModelledServer[],
  own: ModelledServer,
): ServiceCandidates {
  const serviceLoad = createServiceLoad();
  const candidates = servers.map(({ entry }) => ({
    entry,
    view: createGateView(serviceLoad),
    isRemoved: false,
  }));
  return createServiceCandidates(candidates, {
    ownZone: own.entry.zone,
    isOwn: ({ entry }) => entry === own.entry,
    serviceLoad,
  });
}
