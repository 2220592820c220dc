import { Result } from "true-myth";
import { groupBy } from "../collections/group_by.ts";
import { createDiagnostic } from "../diagnostics/create_diagnostic.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import { computeDigest } from "./compute_digest.ts";
import { configurationFormat } from "./configuration_format.ts";
import type { ConfigurationPart } from "./configuration_part.ts";
import type { ConfigurationSet } from "./configuration_set.ts";
import { getManifestVersion } from "./get_manifest_version.ts";
import { getPartName } from "./get_part_name.ts";
import type { ParsedConfiguration } from "./parsed_configuration.ts";
import { PartKind } from "./part_kind.ts";

/**
 * Splits a document into a base part and one part for each service, and computes
 * its manifest and version. A service that only a backend server refers to also
 * gets a part, so that every node refuses the version for the same reason. Fails
 * if the document declares a digest that does not match its content. Digests of
 * parts that also exist in `previous` are reused, because most changes leave
 * most parts unchanged.
 */
export function splitConfiguration(
  configuration: ParsedConfiguration,
  previous?: ConfigurationSet,
): Result<ConfigurationSet, readonly Diagnostic[]> {
  const previousDigests = indexDigestsByContent(previous);
  const parts = createParts(configuration).map((part) => ({
    part,
    digest: previousDigests.get(JSON.stringify(part)) ?? computeDigest(part),
  }));
  const manifest = {
    format: configurationFormat,
    number: configuration.number,
    parts: parts.map(({ part, digest }) => ({
      name: getPartName(part),
      digest,
    })),
  } as const;
  const version = getManifestVersion(manifest);
  const declaredDigest = configuration.digest ?? version.digest;
  return declaredDigest === version.digest
    ? Result.ok({
      version,
      manifest,
      parts: new Map(parts.map(({ part, digest }) => [digest, part])),
    })
    : Result.err([
      createDiagnostic(DiagnosticCode.ConfigurationDigestMismatch, {
        path: "digest",
        found: declaredDigest,
        allowed: version.digest,
      }),
    ]);
}

function indexDigestsByContent(
  previous: ConfigurationSet | undefined,
): ReadonlyMap<string, string> {
  return new Map(
    [...previous?.parts ?? []].map(([digest, part]) => [
      JSON.stringify(part),
      digest,
    ]),
  );
}

function createParts(
  { register, rules }: ParsedConfiguration,
): readonly ConfigurationPart[] {
  const services = register.services.map(({ name }) => name);
  const serversByService = groupBy(
    register.backendServers,
    ({ service }) => service,
  );
  const serviceNames = [...new Set([...services, ...serversByService.keys()])];
  return [
    { kind: PartKind.Base, zones: register.zones, services, rules },
    ...serviceNames.map((service) => ({
      kind: PartKind.Service as const,
      service,
      backendServers: serversByService.get(service) ?? [],
    })),
  ];
}
