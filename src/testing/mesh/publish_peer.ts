import { SourceValueKind } from "../../source/source_value_kind.ts";
import { createSampleEntry } from "./create_sample_entry.ts";
import type { MeshFleet } from "./mesh_fleet.ts";

/** Registers a backend server of the fleet's service beside a peer on `host`. */
export function publishPeer(
  fleet: MeshFleet,
  { identifier, host }: { readonly identifier: string; readonly host: string },
): void {
  const service = fleet.settings[0]!.service;
  fleet.source.put(`server/${identifier}`, {
    kind: SourceValueKind.BackendServer,
    entry: createSampleEntry({
      identifier,
      service,
      address: { host, port: 1 },
    }),
  });
}
