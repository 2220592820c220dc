import { hashRecord } from "./hash_record.ts";
import type { PeerRecord } from "./peer_record.ts";

/**
 * Returns a 32-bit hash of which record of each node is stored, independent of
 * the order.
 */
export function hashRecords(records: readonly PeerRecord[]): number {
  return records.reduce(
    (hash, record) => (hash ^ hashRecord(record)) >>> 0,
    0,
  );
}
