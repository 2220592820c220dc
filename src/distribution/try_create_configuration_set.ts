import type { ConfigurationPart } from "../configuration/configuration_part.ts";
import type { ConfigurationSet } from "../configuration/configuration_set.ts";
import { getManifestVersion } from "../configuration/get_manifest_version.ts";
import type { Manifest } from "../configuration/manifest.ts";

/**
 * Returns the version assembled from the stored parts, or undefined if a part
 * is missing.
 */
export function tryCreateConfigurationSet(
  manifest: Manifest,
  storedParts: ReadonlyMap<string, ConfigurationPart>,
): ConfigurationSet | undefined {
  const parts = manifest.parts.flatMap(({ digest }) => {
    const part = storedParts.get(digest);
    return part === undefined ? [] : [[digest, part] as const];
  });
  return parts.length < manifest.parts.length ? undefined : {
    version: getManifestVersion(manifest),
    manifest,
    parts: new Map(parts),
  };
}
