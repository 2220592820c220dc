import { CallPriority } from "../configuration/call_priority.ts";
import type { ParsedConfiguration } from "../configuration/parsed_configuration.ts";
import type { SampleConfigurationOptions } from "./sample_configuration_options.ts";

const nodePortBase = 7000;
const backendServerPortBase = 9000;

/**
 * Creates a valid configuration of `options.zones` zones and
 * `options.services` services, with `options.serversPerZone` backend servers
 * of each service in each zone (1 if omitted), each on a VM of its own, named
 * `vm-1`, `vm-2` and so on. The route of every fourth service, from the first,
 * has high priority.
 */
export function createSampleConfiguration(
  options: SampleConfigurationOptions,
): ParsedConfiguration {
  const zones = Array.from(
    { length: options.zones },
    (_, index) => `zone-${index + 1}`,
  );
  const services = Array.from(
    { length: options.services },
    (_, index) => `service-${index + 1}`,
  );
  const servers = services.flatMap((service) =>
    zones.flatMap((zone) =>
      Array.from({ length: options.serversPerZone ?? 1 }, () => ({
        service,
        zone,
      }))
    )
  );
  return {
    format: 1,
    number: options.number,
    register: {
      zones: zones.map((name) => ({ name, region: "region-1" })),
      services: services.map((name) => ({ name })),
      backendServers: servers.map(({ service, zone }, index) => ({
        name: `server-${index + 1}`,
        service,
        zone,
        vm: `vm-${index + 1}`,
        address: `127.0.0.1:${backendServerPortBase + index + 1}`,
        nodeAddress: `127.0.0.1:${nodePortBase + index + 1}`,
        slots: 12,
        coldSlots: 2,
        connections: 120,
      })),
    },
    rules: {
      routes: services.map((service, index) => ({
        pathPrefix: `/${service}`,
        service,
        priority: index % 4 === 0 ? CallPriority.High : CallPriority.Normal,
        deadlineMilliseconds: 4000,
        idempotentMethods: ["GET", "HEAD", "OPTIONS"],
        requireIdempotencyKey: false,
      })),
      zonesTakenOut: [...(options.zonesTakenOut ?? [])],
      backendServersLeaving: [...(options.backendServersLeaving ?? [])],
      retryBudgetPercent: options.retryBudgetPercent ?? 10,
    },
  };
}
