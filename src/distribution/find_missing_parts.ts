import type { ConfigurationPart } from "../configuration/configuration_part.ts";
import type { Manifest } from "../configuration/manifest.ts";

/**
 * Returns the digests of the parts that the manifest names and that are not
 * stored.
 */
export function findMissingParts(
  manifest: Manifest,
  storedParts: ReadonlyMap<string, ConfigurationPart>,
): readonly string[] {
  return manifest.parts.map(({ digest }) => digest).filter((digest) =>
    !storedParts.has(digest)
  );
}
