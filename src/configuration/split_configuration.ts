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
 * Cuts a document into a base part and one part for each service, and names
 * the version. A service that only a backend server names has a part too, so
 * that every node can refuse the version for the same reason. Fails where the
 * document states a digest that does not fit. The digests of parts that
 * `previous` has in the same form are taken over, since most changes leave most
 * parts as they are.
 */
export function splitConfiguration(
  configuration: ParsedConfiguration,
  previous?: ConfigurationSet,
): Result<ConfigurationSet, readonly Diagnostic[]> {
  const known = getKnownDigests(previous);
  const parts = createParts(configuration).map((part) => ({
    part,
    digest: known.get(JSON.stringify(part)) ?? computeDigest(part),
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
  const stated = configuration.digest ?? version.digest;
  return stated === version.digest
    ? Result.ok({
      version,
      manifest,
      parts: new Map(parts.map(({ part, digest }) => [digest, part])),
    })
    : Result.err([
      createDiagnostic(DiagnosticCode.ConfigurationDigestMismatch, {
        path: "digest",
        found: stated,
        allowed: version.digest,
      }),
    ]);
}

function getKnownDigests(
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
  const partServices = [...new Set([...services, ...serversByService.keys()])];
  return [
    { kind: PartKind.Base, zones: register.zones, services, rules },
    ...partServices.map((service) => ({
      kind: PartKind.Service as const,
      service,
      backendServers: serversByService.get(service) ?? [],
    })),
  ];
}
