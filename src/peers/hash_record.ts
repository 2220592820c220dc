import { hashText } from "../hashing/hash_text.ts";
import type { PeerRecord } from "./peer_record.ts";

/** Each exchange hashes the records of the whole fleet, few of which are new. */
const hashes = new WeakMap<PeerRecord, number>();

/** Returns a 32-bit hash over the owner, incarnation and sequence of a record. */
export function hashRecord(record: PeerRecord): number {
  const known = hashes.get(record);
  if (known !== undefined) {
    return known;
  }
  const { vm, incarnation, sequence } = record;
  const hash = hashText(`${vm}/${incarnation}/${sequence}`);
  hashes.set(record, hash);
  return hash;
}
