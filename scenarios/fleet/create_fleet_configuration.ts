import { createSampleConfiguration } from "../../src/testing/create_sample_configuration.ts";

/** What differs between the texts that a scenario publishes. */
interface FleetConfigurationOptions {
  readonly number: number;
  readonly zones: number;
  /** Another content under the same number. */
  readonly retryBudgetPercent?: number;
  readonly services?: number;
  /** Adds a route to a service that the register does not name. */
  readonly hasUnknownService?: boolean;
}

const defaultServices = 4;

/** Returns a text that fits the VMs of a fleet. */
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
