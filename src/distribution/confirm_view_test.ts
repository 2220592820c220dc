import test from "ava";
import { NodeState } from "../peers/node_state.ts";
import type { DistributionFleet } from "../testing/distribution_fleet.ts";
import { publishSample } from "../testing/publish_sample.ts";
import { startDistributionFleet } from "../testing/start_distribution_fleet.ts";

const shape = { vms: 6, zones: 3 };
const pausedNode = "vm-4";

/**
 * Requests a confirmation as a node does after a pause; the returned function
 * gives the version in force when it resolved.
 */
function startConfirmation(
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

/** Separates a node from its peers and from the platform, as a pause does. */
function isolate(fleet: DistributionFleet, vm: string): void {
  const address = fleet.getNode(vm)?.address;
  fleet.network.partition(address === undefined ? [] : [[address]]);
  fleet.platform.setDisconnectedVms([vm]);
}

test("confirmView() resolves as soon as peers respond", async (t) => {
  const fleet = await startDistributionFleet({ ...shape, seed: 21 });
  const getConfirmed = startConfirmation(fleet, pausedNode);
  await fleet.advanceBy(20);
  t.is(getConfirmed(), 1);
});

test("confirmView() resolves only once the newer version of the peers is in force", async (t) => {
  const fleet = await startDistributionFleet({ ...shape, seed: 22 });
  const node = fleet.getNode(pausedNode);
  isolate(fleet, pausedNode);
  publishSample(fleet, { number: 2, zonesTakenOut: ["zone-1"] });
  await fleet.advanceBy(5_000);
  t.is(node?.applied.length, 1);
  fleet.network.partition([]);
  const getConfirmed = startConfirmation(fleet, pausedNode);
  t.is(getConfirmed(), undefined);
  await fleet.advanceBy(300);
  t.is(getConfirmed(), 2);
});

test("confirmView() waits while neither a peer nor the platform responds", async (t) => {
  const fleet = await startDistributionFleet({ ...shape, seed: 23 });
  isolate(fleet, pausedNode);
  const getConfirmed = startConfirmation(fleet, pausedNode);
  await fleet.advanceBy(120_000);
  t.is(getConfirmed(), undefined);
  fleet.network.partition([]);
  await fleet.advanceBy(5_000);
  t.is(getConfirmed(), 1);
});

test("confirmView() resolves with the response of the platform if no peer responds", async (t) => {
  const fleet = await startDistributionFleet({ ...shape, seed: 24 });
  isolate(fleet, pausedNode);
  const getConfirmed = startConfirmation(fleet, pausedNode);
  await fleet.advanceBy(5_000);
  fleet.platform.setDisconnectedVms([]);
  await fleet.advanceBy(10_000);
  t.is(getConfirmed(), 1);
});

test("confirmView() does not rely on peers that were paused too while others may respond", async (t) => {
  const fleet = await startDistributionFleet({ ...shape, seed: 25 });
  fleet.platform.setDown(true);
  const confirmations = fleet.getNodes().map(({ vm }) =>
    startConfirmation(fleet, vm)
  );
  await fleet.advanceBy(1_000);
  t.true(
    confirmations.every((getConfirmed) => getConfirmed() === undefined),
  );
  await fleet.advanceBy(10_000);
  t.true(confirmations.every((getConfirmed) => getConfirmed() === 1));
});

test("confirmView() resolves on a node without peers, whether or not the platform is down", async (t) => {
  const fleet = await startDistributionFleet({ vms: 1, zones: 1, seed: 26 });
  publishSample(fleet, { number: 2, zones: 1, services: 1 });
  await fleet.advanceBy(5_000);
  const getConfirmed = startConfirmation(fleet, "vm-1");
  await fleet.advanceBy(15_000);
  t.is(getConfirmed(), 2);
  fleet.platform.setDown(true);
  const getConfirmedAgain = startConfirmation(fleet, "vm-1");
  await fleet.advanceBy(15_000);
  t.is(getConfirmedAgain(), 2);
});
