import { hashText } from "../hashing/hash_text.ts";
import type { PeerRecord } from "./peer_record.ts";

/**
 * Cached, since each exchange hashes the records of the whole fleet, few of
 * which have changed.
 */
const hashByRecord = new WeakMap<PeerRecord, number>();

/** Returns a 32-bit hash of the VM, incarnation and sequence of a record. */
export function hashRecord(record: PeerRecord): number {
  const cachedHash = hashByRecord.get(record);
  if (cachedHash !== undefined) {
    return cachedHash;
  }
  const { vm, incarnation, sequence } = record;
  const hash = hashText(`${vm}/${incarnation}/${sequence}`);
  hashByRecord.set(record, hash);
  return hash;
}
