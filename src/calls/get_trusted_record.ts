import type { PeerRecord } from "../peers/peer_record.ts";
import type { BackendServerView } from "./backend_server_view.ts";

/**
 * How long a record is believed after it came. A change of state is told at
 * once, but its message may be lost; after this time a call finds out.
 */
const recordTrustMilliseconds = 30_000;

/** Returns the peer record of a backend server's node, unless it is too old to go by. */
export function getTrustedRecord(
  view: BackendServerView,
  now: number,
): PeerRecord | undefined {
  return now < view.recordReceivedAt + recordTrustMilliseconds
    ? view.record
    : undefined;
}
