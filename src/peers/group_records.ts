import { groupBy } from "../collections/group_by.ts";
import { hashText } from "../hashing/hash_text.ts";
import type { PeerRecord } from "./peer_record.ts";

/**
 * Groups records into `count` buckets by VM. A VM has the same bucket on every
 * node.
 */
export function groupRecords(
  records: readonly PeerRecord[],
  count: number,
): readonly (readonly PeerRecord[])[] {
  const groups = groupBy(records, ({ vm }) => hashText(vm) % count);
  return Array.from({ length: count }, (_, index) => groups.get(index) ?? []);
}
