import test from "ava";
import { NodeState } from "../peers/node_state.ts";
import type { DistributionFleet } from "../testing/distribution_fleet.ts";
import { publishSample } from "../testing/publish_sample.ts";
import { startDistributionFleet } from "../testing/start_distribution_fleet.ts";

const shape = { vms: 6, zones: 3 };
const sleeper = "vm-4";

/** Lets a node say that it was paused and ask its peers; returns the version in force when it was answered. */
function confirm(
  fleet: DistributionFleet,
  vm: string,
): () => number | undefined {
  const runtime = fleet.getNode(vm)?.runtime;
  let confirmedNumber: number | undefined;
  fleet.setState(vm, NodeState.ConfirmingView);
  runtime?.confirmView().then(() => {
    confirmedNumber = runtime.getSnapshot()?.version.number;
    fleet.setState(vm, undefined);
  });
  return () => confirmedNumber;
}

/** Cuts a node off from its peers and from the platform, as sleep does. */
function cutOff(fleet: DistributionFleet, vm: string): void {
  const address = fleet.getNode(vm)?.address;
  fleet.network.partition(address === undefined ? [] : [[address]]);
  fleet.platform.setCutOff([vm]);
}

test("confirmView() resolves as soon as peers answer", async (t) => {
  const fleet = await startDistributionFleet({ ...shape, seed: 21 });
  const getConfirmed = confirm(fleet, sleeper);
  await fleet.advanceBy(20);
  t.is(getConfirmed(), 1);
});

test("confirmView() resolves only once the newer version of the peers is in force", async (t) => {
  const fleet = await startDistributionFleet({ ...shape, seed: 22 });
  const node = fleet.getNode(sleeper);
  cutOff(fleet, sleeper);
  publishSample(fleet, { number: 2, zonesTakenOut: ["zone-1"] });
  await fleet.advanceBy(5_000);
  t.is(node?.applied.length, 1);
  fleet.network.partition([]);
  const getConfirmed = confirm(fleet, sleeper);
  t.is(getConfirmed(), undefined);
  await fleet.advanceBy(300);
  t.is(getConfirmed(), 2);
});

test("confirmView() waits while neither a peer nor the platform answers", async (t) => {
  const fleet = await startDistributionFleet({ ...shape, seed: 23 });
  cutOff(fleet, sleeper);
  const getConfirmed = confirm(fleet, sleeper);
  await fleet.advanceBy(120_000);
  t.is(getConfirmed(), undefined);
  fleet.network.partition([]);
  await fleet.advanceBy(5_000);
  t.is(getConfirmed(), 1);
});

test("confirmView() takes the platform's word where no peer answers", async (t) => {
  const fleet = await startDistributionFleet({ ...shape, seed: 24 });
  cutOff(fleet, sleeper);
  const getConfirmed = confirm(fleet, sleeper);
  await fleet.advanceBy(5_000);
  fleet.platform.setCutOff([]);
  await fleet.advanceBy(10_000);
  t.is(getConfirmed(), 1);
});

test("confirmView() does not trust peers that were paused too while others may answer", async (t) => {
  const fleet = await startDistributionFleet({ ...shape, seed: 25 });
  fleet.platform.setDown(true);
  const confirmations = fleet.getNodes().map(({ vm }) => confirm(fleet, vm));
  await fleet.advanceBy(1_000);
  t.true(
    confirmations.every((getConfirmed) => getConfirmed() === undefined),
  );
  await fleet.advanceBy(10_000);
  t.true(confirmations.every((getConfirmed) => getConfirmed() === 1));
});

test("confirmView() resolves on a node that is alone, the platform down or not", async (t) => {
  const fleet = await startDistributionFleet({ vms: 1, zones: 1, seed: 26 });
  publishSample(fleet, { number: 2, zones: 1, services: 1 });
  await fleet.advanceBy(5_000);
  const getConfirmed = confirm(fleet, "vm-1");
  await fleet.advanceBy(15_000);
  t.is(getConfirmed(), 2);
  fleet.platform.setDown(true);
  const getConfirmedAgain = confirm(fleet, "vm-1");
  await fleet.advanceBy(15_000);
  t.is(getConfirmedAgain(), 2);
});
