import type { PeerRecord } from "./peer_record.ts";

/** Whether `record` replaces `other`, which is a record of the same VM. */
export function isNewerRecord(
  record: PeerRecord,
  other: PeerRecord | undefined,
): boolean {
  return other === undefined || record.incarnation > other.incarnation ||
    (record.incarnation === other.incarnation &&
      record.sequence > other.sequence);
}
