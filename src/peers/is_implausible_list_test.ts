import test from "ava";
import type { VmEntry } from "../platform/vm_entry.ts";
import { VmState } from "../platform/vm_state.ts";
import { createRandomSource } from "../runtime/create_random_source.ts";
import { createTestSettings } from "../admission/testing/create_test_settings.ts";
import { createDistributionState } from "../distribution/create_distribution_state.ts";
import { BackendServerState } from "../health/backend_server_state.ts";
import { getVmsInState } from "./get_vms_in_state.ts";
import { NodeState } from "./node_state.ts";
import { applyListedVms } from "./apply_listed_vms.ts";
import { VmSightingState } from "./vm_sighting_state.ts";

const implausibleListTimeoutMilliseconds = 600_000;

function createEntry(vm: string): VmEntry {
  return {
    vm,
    zone: "sul-a",
    region: "sul",
    nodeAddress: { host: "127.0.0.1", port: 7000 + Number(vm.slice(3)) },
    state: VmState.Live,
  };
}

const completeList = ["vm-2", "vm-3", "vm-4", "vm-5", "vm-6"].map(createEntry);

function createPeers() {
  const state = createDistributionState({
    state: NodeState.Serving,
    backendServerState: BackendServerState.Ready,
    freeSlots: 1,
  }, { now: 0, random: createRandomSource(1), settings: createTestSettings() });
  return applyListedVms(state.peers, completeList, { now: 1 });
}

function getGoneVms(peers: ReturnType<typeof createPeers>) {
  return [...getVmsInState(peers, VmSightingState.Gone).keys()];
}

test("a list that lacks a few VMs is accepted", (t) => {
  const peers = applyListedVms(createPeers(), completeList.slice(2), {
    now: 2,
  });
  t.deepEqual(getGoneVms(peers), ["vm-2", "vm-3"]);
});

test("an empty list, or one that lacks most VMs, is not accepted at once", (t) => {
  [[], completeList.slice(3)].forEach((list) => {
    const ignored = applyListedVms(createPeers(), list, { now: 2 });
    t.deepEqual(getGoneVms(ignored), []);
    t.is(ignored.listedVms?.size, completeList.length);
    t.deepEqual(
      getGoneVms(applyListedVms(ignored, completeList, { now: 3 })),
      [],
    );
  });
});

test("a list that stays implausible for ten minutes is accepted", (t) => {
  const ignored = applyListedVms(createPeers(), [], { now: 2 });
  const still = applyListedVms(ignored, [], {
    now: implausibleListTimeoutMilliseconds,
  });
  t.deepEqual(getGoneVms(still), []);
  const later = applyListedVms(still, [], {
    now: implausibleListTimeoutMilliseconds + 3,
  });
  t.is(getGoneVms(later).length, completeList.length);
});

test("a complete list in between restarts the ten minutes", (t) => {
  const ignored = applyListedVms(createPeers(), [], { now: 2 });
  const again = applyListedVms(ignored, completeList, { now: 3 });
  const later = applyListedVms(again, [], {
    now: implausibleListTimeoutMilliseconds + 3,
  });
  t.deepEqual(getGoneVms(later), []);
});
