import { createExpiringMap } from "../calls/create_expiring_map.ts";
import type { ExpiringMap } from "../calls/expiring_map.ts";

/** Creates the record of the calls that were sent to the backend server of this VM. */
export function createSentCalls(): ExpiringMap<true> {
  return createExpiringMap({
    maximumBytes: 0,
    getBytes: () => 0,
    strip: (value) => value,
  });
}
