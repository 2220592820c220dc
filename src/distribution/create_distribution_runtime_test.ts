import test from "ava";
import { createDistributionFleet } from "../testing/create_distribution_fleet.ts";
import { createSampleConfiguration } from "../testing/create_sample_configuration.ts";
import type { DistributionFleet } from "../testing/distribution_fleet.ts";

const shape = { zones: 3, services: 4 };
const vms = 12;

function publish(fleet: DistributionFleet, number: number): void {
  fleet.platform.publish(
    JSON.stringify(createSampleConfiguration({ number, ...shape })),
  );
}

function getNumbers(fleet: DistributionFleet): readonly (number | undefined)[] {
  return fleet.getNodes().map(({ runtime }) =>
    runtime.getSnapshot()?.version.number
  );
}

async function startFleet(seed: number): Promise<DistributionFleet> {
  const fleet = createDistributionFleet({ vms, zones: shape.zones, seed });
  publish(fleet, 1);
  Array.from({ length: vms }, (_, index) => fleet.start(`vm-${index + 1}`));
  await fleet.advanceBy(8_000);
  return fleet;
}

test("a fleet that starts for the first time puts the published version in force everywhere", async (t) => {
  const fleet = await startFleet(1);
  t.deepEqual(getNumbers(fleet), Array(vms).fill(1));
});

test("a new version is in force everywhere within a second, without a revert", async (t) => {
  const fleet = await startFleet(2);
  publish(fleet, 2);
  await fleet.advanceBy(1_000);
  t.deepEqual(getNumbers(fleet), Array(vms).fill(2));
  fleet.getNodes().forEach(({ applied }) =>
    t.deepEqual(applied.map(({ version }) => version.number), [1, 2])
  );
});
