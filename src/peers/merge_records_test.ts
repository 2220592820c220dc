import test from "ava";
import fc from "fast-check";
import { BackendServerState } from "../health/backend_server_state.ts";
import { mergeRecords } from "./merge_records.ts";
import { NodeState } from "./node_state.ts";
import type { PeerRecord } from "./peer_record.ts";
import type { PeersState } from "./peers_state.ts";

const runs = 200;

function createRecord(
  index: number,
  { incarnation, sequence }: Pick<PeerRecord, "incarnation" | "sequence">,
): PeerRecord {
  return {
    vm: `vm-${index}`,
    zone: "zone-1",
    nodeAddress: { host: "127.0.0.1", port: 7000 + index },
    incarnation,
    sequence,
    state: NodeState.Serving,
    backendServerState: BackendServerState.Ready,
    freeSlots: 1,
    version: undefined,
  };
}

const own = createRecord(0, { incarnation: 5, sequence: 1 });
const empty: PeersState = {
  own,
  nextRefreshAt: Infinity,
  records: new Map(),
  known: new Map(),
  listedVms: undefined,
  implausibleListSince: undefined,
  sightings: new Map(),
  remainingRecordSends: new Map(),
  remainingSightingSends: new Map(),
};

const recordArbitrary = fc.record({
  index: fc.integer({ min: 1, max: 4 }),
  incarnation: fc.integer({ min: 1, max: 3 }),
  sequence: fc.integer({ min: 0, max: 3 }),
}).map(({ index, ...rank }) => createRecord(index, rank));

test("mergeRecords() yields the same records for any order and repetition", (t) => {
  fc.assert(
    fc.property(fc.array(recordArbitrary), fc.nat(), (records, offset) => {
      const at = records.length === 0 ? 0 : offset % records.length;
      const rotated = [...records.slice(at), ...records.slice(0, at)];
      const inOrder = mergeRecords(empty, records).records;
      const repeated = mergeRecords(mergeRecords(empty, rotated), records)
        .records;
      t.deepEqual(
        new Map([...repeated].toSorted()),
        new Map([...inOrder].toSorted()),
      );
    }),
    { seed: 3, numRuns: runs },
  );
});

test("mergeRecords() raises the node's incarnation above a record of an earlier process whose clock was ahead", (t) => {
  const earlier = createRecord(0, { incarnation: 9, sequence: 7 });
  t.is(mergeRecords(empty, [earlier]).own.incarnation, 10);
  const older = createRecord(0, { incarnation: 4, sequence: 7 });
  t.is(mergeRecords(empty, [older]), empty);
});
