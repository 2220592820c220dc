import { Result } from "true-myth";
import { createDiagnostic } from "../diagnostics/create_diagnostic.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import { basePartName } from "./base_part_name.ts";
import type { BasePart } from "./base_part.ts";
import type { ConfigurationSet } from "./configuration_set.ts";
import type { ResolvedParts } from "./resolved_parts.ts";
import { getPartName } from "./get_part_name.ts";
import { getServicePartName } from "./get_service_part_name.ts";
import { getAvailableParts } from "./get_available_parts.ts";
import { PartKind } from "./part_kind.ts";
import type { ServicePart } from "./service_part.ts";

/**
 * Returns the base part and the service parts of a version. Fails if a part that
 * the manifest lists, the base part or the part of a service that the base part
 * lists is missing, or if the manifest lists a part under a name that does not
 * match its content.
 */
export function resolveParts(
  set: ConfigurationSet,
): Result<ResolvedParts, readonly Diagnostic[]> {
  const unresolved = set.manifest.parts.filter(({ name, digest }) => {
    const part = set.parts.get(digest);
    return part === undefined || getPartName(part) !== name;
  });
  const parts = getAvailableParts(set);
  const base = parts.find((part): part is BasePart =>
    part.kind === PartKind.Base
  );
  const services = parts.filter((part): part is ServicePart =>
    part.kind === PartKind.Service
  );
  const servicesWithPart = new Set(services.map(({ service }) => service));
  const missingNames = [
    ...unresolved.map(({ name }) => name),
    ...(base === undefined ? [basePartName] : []),
    ...(base?.services ?? [])
      .filter((service) => !servicesWithPart.has(service))
      .map(getServicePartName),
  ];
  return base === undefined || missingNames.length > 0
    ? Result.err(
      [...new Set(missingNames)].map((path) =>
        createDiagnostic(DiagnosticCode.ConfigurationPartMissing, { path })
      ),
    )
    : Result.ok({ base, services });
}
