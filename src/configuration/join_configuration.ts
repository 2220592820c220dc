import type { BasePart } from "./base_part.ts";
import type { ConfigurationSet } from "./configuration_set.ts";
import { getAvailableParts } from "./get_available_parts.ts";
import type { ParsedConfiguration } from "./parsed_configuration.ts";
import { PartKind } from "./part_kind.ts";
import type { ServicePart } from "./service_part.ts";

/**
 * Assembles the configuration document of a version, including its digest, from
 * its parts. `splitConfiguration` turns the result into the same version again.
 * Returns undefined if the base part is missing.
 */
export function joinConfiguration(
  set: ConfigurationSet,
): ParsedConfiguration | undefined {
  const parts = getAvailableParts(set);
  const base = parts.find((part): part is BasePart =>
    part.kind === PartKind.Base
  );
  return base === undefined ? undefined : {
    format: set.manifest.format,
    number: set.version.number,
    digest: set.version.digest,
    register: {
      zones: base.zones,
      services: base.services.map((name) => ({ name })),
      backendServers: parts
        .filter((part): part is ServicePart => part.kind === PartKind.Service)
        .flatMap((part) => part.backendServers),
    },
    rules: base.rules,
  };
}
