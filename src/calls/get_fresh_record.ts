import type { PeerRecord } from "../peers/peer_record.ts";
import type { BackendServerView } from "./backend_server_view.ts";

/**
 * How long a record is used after it was received. Changes of state are sent at
 * once, but the message may be lost; after this time calls are sent again, and
 * the responses show the state.
 */
const recordLifetimeMilliseconds = 30_000;

/**
 * Returns the peer record of a backend server's node; undefined if there is
 * none or it is stale.
 */
export function getFreshRecord(
  view: BackendServerView,
  now: number,
): PeerRecord | undefined {
  return now < view.recordReceivedAt + recordLifetimeMilliseconds
    ? view.record
    : undefined;
}
