import { getOrCreate } from "../collections/get_or_create.ts";
import type { RegisterRecord } from "../register/register_record.ts";
import type { MeshView } from "./mesh_view.ts";

/**
 * Returns the records of a service. They are cached until the register changes,
 * since it changes rarely and is queried for each call.
 */
export function getRecordsOfService(
  view: MeshView,
  service: string,
): readonly RegisterRecord[] {
  return getOrCreate(view.recordsByService, service, {
    create: () =>
      Array.from(view.register.values())
        .filter(({ entry }) => entry.service === service),
  });
}
