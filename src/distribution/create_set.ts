import type { ConfigurationPart } from "../configuration/configuration_part.ts";
import type { ConfigurationSet } from "../configuration/configuration_set.ts";
import { getManifestVersion } from "../configuration/get_manifest_version.ts";
import type { Manifest } from "../configuration/manifest.ts";

/** Puts a version together from the parts held, or undefined while one is missing. */
export function createSet(
  manifest: Manifest,
  held: ReadonlyMap<string, ConfigurationPart>,
): ConfigurationSet | undefined {
  const parts = manifest.parts.flatMap(({ digest }) => {
    const part = held.get(digest);
    return part === undefined ? [] : [[digest, part] as const];
  });
  return parts.length < manifest.parts.length ? undefined : {
    version: getManifestVersion(manifest),
    manifest,
    parts: new Map(parts),
  };
}
