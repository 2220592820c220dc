import { hashRecord } from "./hash_record.ts";
import type { PeerRecord } from "./peer_record.ts";

/** Returns a 32-bit hash over which record of each node is held; the order does not matter. */
export function hashRecords(records: readonly PeerRecord[]): number {
  return records.reduce(
    (hash, record) => (hash ^ hashRecord(record)) >>> 0,
    0,
  );
}
