import { Result } from "true-myth";
import { createDiagnostic } from "../diagnostics/create_diagnostic.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import { basePartName } from "./base_part_name.ts";
import type { BasePart } from "./base_part.ts";
import type { ConfigurationSet } from "./configuration_set.ts";
import type { FoundParts } from "./found_parts.ts";
import { getPartName } from "./get_part_name.ts";
import { getServicePartName } from "./get_service_part_name.ts";
import { getSetParts } from "./get_set_parts.ts";
import { PartKind } from "./part_kind.ts";
import type { ServicePart } from "./service_part.ts";

/**
 * Finds the base part and the part of every service that it names. Fails where
 * one is missing, or where the manifest lists a part under another name than
 * its own.
 */
export function findParts(
  set: ConfigurationSet,
): Result<FoundParts, readonly Diagnostic[]> {
  const misnamed = set.manifest.parts.filter(({ name, digest }) => {
    const part = set.parts.get(digest);
    return part === undefined || getPartName(part) !== name;
  });
  const parts = getSetParts(set);
  const base = parts.find((part): part is BasePart =>
    part.kind === PartKind.Base
  );
  const services = parts.filter((part): part is ServicePart =>
    part.kind === PartKind.Service
  );
  const served = new Set(services.map(({ service }) => service));
  const missing = [
    ...misnamed.map(({ name }) => name),
    ...(base === undefined ? [basePartName] : []),
    ...(base?.services ?? [])
      .filter((service) => !served.has(service))
      .map(getServicePartName),
  ];
  return base === undefined || missing.length > 0
    ? Result.err(
      [...new Set(missing)].map((path) =>
        createDiagnostic(DiagnosticCode.ConfigurationPartMissing, { path })
      ),
    )
    : Result.ok({ base, services });
}
