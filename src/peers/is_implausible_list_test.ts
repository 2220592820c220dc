import test from "ava";
import type { VmEntry } from "../platform/vm_entry.ts";
import { VmState } from "../platform/vm_state.ts";
import { createRandomSource } from "../runtime/create_random_source.ts";
import { createTestSettings } from "../admission/testing/create_test_settings.ts";
import { createDistributionState } from "../distribution/create_distribution_state.ts";
import { BackendServerState } from "../health/backend_server_state.ts";
import { getVmsInState } from "./get_vms_in_state.ts";
import { NodeState } from "./node_state.ts";
import { takeListedVms } from "./take_listed_vms.ts";
import { VmSightingState } from "./vm_sighting_state.ts";

const doubtMilliseconds = 600_000;

function createEntry(vm: string): VmEntry {
  return {
    vm,
    zone: "sul-a",
    region: "sul",
    nodeAddress: { host: "127.0.0.1", port: 7000 + Number(vm.slice(3)) },
    state: VmState.Live,
  };
}

const whole = ["vm-2", "vm-3", "vm-4", "vm-5", "vm-6"].map(createEntry);

function createPeers() {
  const state = createDistributionState({
    state: NodeState.Serving,
    backendServerState: BackendServerState.Ready,
    freeSlots: 1,
  }, { now: 0, random: createRandomSource(1), settings: createTestSettings() });
  return takeListedVms(state.peers, whole, { now: 1 });
}

function getGone(peers: ReturnType<typeof createPeers>) {
  return [...getVmsInState(peers, VmSightingState.Gone).keys()];
}

test("a list without a few VMs is taken at its word", (t) => {
  const peers = takeListedVms(createPeers(), whole.slice(2), { now: 2 });
  t.deepEqual(getGone(peers), ["vm-2", "vm-3"]);
});

test("an empty list, or one that lacks most VMs, is not taken at its word at once", (t) => {
  [[], whole.slice(3)].forEach((list) => {
    const doubted = takeListedVms(createPeers(), list, { now: 2 });
    t.deepEqual(getGone(doubted), []);
    t.is(doubted.listedVms?.size, whole.length);
    t.deepEqual(getGone(takeListedVms(doubted, whole, { now: 3 })), []);
  });
});

test("a list that stays so for ten minutes is taken over", (t) => {
  const doubted = takeListedVms(createPeers(), [], { now: 2 });
  const still = takeListedVms(doubted, [], { now: doubtMilliseconds });
  t.deepEqual(getGone(still), []);
  const later = takeListedVms(still, [], { now: doubtMilliseconds + 3 });
  t.is(getGone(later).length, whole.length);
});

test("a whole list in between ends the doubt", (t) => {
  const doubted = takeListedVms(createPeers(), [], { now: 2 });
  const again = takeListedVms(doubted, whole, { now: 3 });
  const later = takeListedVms(again, [], { now: doubtMilliseconds + 3 });
  t.deepEqual(getGone(later), []);
});
