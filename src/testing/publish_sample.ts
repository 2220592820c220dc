import { createSampleConfiguration } from "./create_sample_configuration.ts";
import type { DistributionFleet } from "./distribution_fleet.ts";
import type { SampleConfigurationOptions } from "./sample_configuration_options.ts";

/** Publishes a valid configuration, of three zones and four services unless `options` sets other numbers. */
export function publishSample(
  fleet: DistributionFleet,
  options: Partial<SampleConfigurationOptions> & { readonly number: number },
): void {
  fleet.platform.publish(JSON.stringify(createSampleConfiguration({
    zones: 3,
    services: 4,
    ...options,
  })));
}
