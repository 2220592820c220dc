import test from "ava";
import { BackendServerState } from "../health/backend_server_state.ts";
import { createRandomSource } from "../runtime/create_random_source.ts";
import { choosePeers } from "./choose_peers.ts";
import { NodeState } from "./node_state.ts";
import type { PeersState } from "./peers_state.ts";
import { upsertKnownPeers } from "./upsert_known_peers.ts";

const now = 1000;
const zones = ["zone-1", "zone-1", "zone-2", "zone-2", "zone-3"];

function createPeers(avoided: readonly number[] = []): PeersState {
  return {
    own: {
      vm: "vm-0",
      zone: "zone-1",
      nodeAddress: { host: "127.0.0.1", port: 7000 },
      incarnation: 1,
      sequence: 1,
      state: NodeState.Serving,
      backendServerState: BackendServerState.Ready,
      freeSlots: 1,
      version: undefined,
    },
    nextRefreshAt: Infinity,
    records: new Map(),
    known: upsertKnownPeers(
      new Map(),
      zones.map((zone, index) => ({
        address: { host: "127.0.0.1", port: 7001 + index },
        zone,
        avoidUntil: avoided.includes(index) ? now + 1 + index : 0,
      })),
    ),
    listedVms: undefined,
    implausibleListSince: undefined,
    sightings: new Map(),
    remainingRecordSends: new Map(),
    remainingSightingSends: new Map(),
  };
}

function choose(
  peers: PeersState,
  counts: { readonly ownZone: number; readonly otherZones: number },
): readonly (string | undefined)[] {
  const random = createRandomSource(1);
  return choosePeers(peers, { ...counts, now, random })
    .map(({ zone }) => zone);
}

test("choosePeers() returns peers of the node's zone and of others", (t) => {
  const chosen = choose(createPeers(), { ownZone: 2, otherZones: 1 });
  t.is(chosen.filter((zone) => zone === "zone-1").length, 2);
  t.is(chosen.length, 3);
});

test("choosePeers() returns more peers of one group if the other has too few", (t) => {
  t.is(choose(createPeers(), { ownZone: 4, otherZones: 1 }).length, 5);
  t.is(choose(createPeers(), { ownZone: 0, otherZones: 5 }).length, 5);
});

test("choosePeers() omits peers that are being avoided, unless all are", (t) => {
  const some = choose(createPeers([0, 1]), { ownZone: 2, otherZones: 1 });
  t.false(some.includes("zone-1"));
  const all = choosePeers(createPeers([0, 1, 2, 3, 4]), {
    ownZone: 1,
    otherZones: 0,
    now,
    random: createRandomSource(1),
  });
  t.is(all[0]?.address.port, 7001);
});
