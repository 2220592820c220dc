import { Result } from "true-myth";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import type { BasePart } from "./base_part.ts";
import { compileService } from "./compile_service.ts";
import type { CompiledConfiguration } from "./compiled_configuration.ts";
import type { ConfigurationSet } from "./configuration_set.ts";
import { resolveParts } from "./resolve_parts.ts";
import type { ResolvedParts } from "./resolved_parts.ts";
import { getServicePartName } from "./get_service_part_name.ts";
import type { Manifest } from "./manifest.ts";
import type { Service } from "./service.ts";
import type { ServicePart } from "./service_part.ts";
import type { Snapshot } from "./snapshot.ts";
import { validateConfiguration } from "./validate_configuration.ts";
import { ZoneState } from "./zone_state.ts";

/**
 * Compiles a version into a snapshot, or returns a diagnostic for everything
 * that makes it invalid. A service is reused from `previous` if its part and the
 * leaving marks of its backend servers are unchanged.
 */
export function compileSnapshot(
  set: ConfigurationSet,
  previous?: CompiledConfiguration,
): Result<Snapshot, readonly Diagnostic[]> {
  return resolveParts(set).andThen((found) => {
    const reasons = validateConfiguration(
      found.base,
      found.services.flatMap(({ backendServers }) => backendServers),
    );
    return reasons.length > 0
      ? Result.err(reasons)
      : Result.ok(createSnapshot(set, { found, previous }));
  });
}

function createSnapshot(
  set: ConfigurationSet,
  options: {
    readonly found: ResolvedParts;
    readonly previous: CompiledConfiguration | undefined;
  },
): Snapshot {
  const { found: { base, services: parts }, previous } = options;
  const leaving = new Set(base.rules.backendServersLeaving);
  const takenOut = new Set(base.rules.zonesTakenOut);
  const services = parts.map((part) =>
    findUnchangedService(part, { set, leaving, previous }) ??
      compileService(part, leaving)
  );
  return {
    version: set.version,
    zones: new Map(base.zones.map(({ name, region }) => [name, {
      name,
      region,
      state: takenOut.has(name) ? ZoneState.TakenOut : ZoneState.InService,
    }])),
    services: new Map(services.map((service) => [service.name, service])),
    backendServers: new Map(
      services.flatMap(({ backendServers }) =>
        backendServers.map((server) => [server.name, server] as const)
      ),
    ),
    routes: createRoutes(base),
    retryBudgetPercent: base.rules.retryBudgetPercent,
  };
}

/** Adds the `host` property, which the document may omit, to every route. */
function createRoutes({ rules }: BasePart): Snapshot["routes"] {
  return rules.routes.map((route) => ({ ...route, host: route.host }));
}

function findUnchangedService(
  part: ServicePart,
  options: {
    readonly set: ConfigurationSet;
    readonly leaving: ReadonlySet<string>;
    readonly previous: CompiledConfiguration | undefined;
  },
): Service | undefined {
  const { set, leaving, previous } = options;
  const name = getServicePartName(part.service);
  const previousService = previous?.snapshot.services.get(part.service);
  const isPartUnchanged = previous !== undefined &&
    getPartDigest(previous.set.manifest, name) ===
      getPartDigest(set.manifest, name);
  const isLeavingUnchanged = previousService?.backendServers.every((
    server,
  ) => server.leaving === leaving.has(server.name));
  return isPartUnchanged && isLeavingUnchanged ? previousService : undefined;
}

function getPartDigest(manifest: Manifest, name: string): string | undefined {
  return manifest.parts.find((part) => part.name === name)?.digest;
}
