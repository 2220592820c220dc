import type { ConfigurationPart } from "../configuration/configuration_part.ts";
import type { Manifest } from "../configuration/manifest.ts";

/** Returns the digests of the parts that the manifest names and that are not held. */
export function findMissingParts(
  manifest: Manifest,
  held: ReadonlyMap<string, ConfigurationPart>,
): readonly string[] {
  return manifest.parts.map(({ digest }) => digest).filter((digest) =>
    !held.has(digest)
  );
}
