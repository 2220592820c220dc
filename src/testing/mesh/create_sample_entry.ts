import { BackendServerAvailability } from "../../register/backend_server_availability.ts";
import type { RegisterEntry } from "../../register/register_entry.ts";

/** Creates the register entry of a backend server that is ready and not in cold start; `overrides` replaces fields. */
export function createSampleEntry(
  overrides: Partial<RegisterEntry> = {},
): RegisterEntry {
  return {
    identifier: "i-1",
    service: "vitrine",
    address: { host: "10.0.0.1", port: 8301 },
    zone: "sul-a",
    slots: 12,
    availability: BackendServerAvailability.Ready,
    coldUntil: 0,
    bornAt: 5,
    sequence: 3,
    ...overrides,
  };
}
