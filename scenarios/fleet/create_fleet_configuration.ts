import { createSampleConfiguration } from "../../src/testing/create_sample_configuration.ts";

/** What differs between the configurations that scenarios publish. */
interface FleetConfigurationOptions {
  readonly number: number;
  readonly zones: number;
  /** Set to publish different contents under the same number. */
  readonly retryBudgetPercent?: number;
  /** Number of services. */
  readonly services?: number;
  /** Whether to add a route to a service that is not in the register. */
  readonly hasUnknownService?: boolean;
}

const defaultServices = 4;

/** Returns the JSON text of a configuration for the VMs of the simulated fleet. */
export function createFleetConfiguration(
  options: FleetConfigurationOptions,
): string {
  const {
    number,
    zones,
    retryBudgetPercent,
    hasUnknownService = false,
  } = options;
  const sample = createSampleConfiguration({
    number,
    zones,
    services: options.services ?? defaultServices,
    ...(retryBudgetPercent === undefined ? {} : { retryBudgetPercent }),
  });
  const [route] = sample.rules.routes;
  const unknownServiceRoute = {
    ...route,
    pathPrefix: "/stray",
    service: "stray",
  };
  return JSON.stringify(
    hasUnknownService
      ? {
        ...sample,
        rules: {
          ...sample.rules,
          routes: [...sample.rules.routes, unknownServiceRoute],
        },
      }
      : sample,
  );
}
