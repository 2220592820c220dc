import { createDistributionFleet } from "./create_distribution_fleet.ts";
import type { DistributionFleet } from "./distribution_fleet.ts";
import { publishSample } from "./publish_sample.ts";

const convergenceMilliseconds = 8_000;

/** Publishes version 1, starts every node and advances the virtual time by 8 s, for the fleet to converge. */
export async function startDistributionFleet(
  options: {
    readonly vms: number;
    readonly zones: number;
    readonly seed: number;
  },
): Promise<DistributionFleet> {
  const fleet = createDistributionFleet(options);
  publishSample(fleet, { number: 1 });
  Array.from(
    { length: options.vms },
    (_, index) => fleet.start(`vm-${index + 1}`),
  );
  await fleet.advanceBy(convergenceMilliseconds);
  return fleet;
}
