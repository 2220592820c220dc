import { computeDigest } from "../configuration/compute_digest.ts";
import type { ConfigurationPart } from "../configuration/configuration_part.ts";
import type { Manifest } from "../configuration/manifest.ts";

/**
 * Adds the parts that the manifest names. A part counts by the digest of its
 * content, so that a corrupt one is as good as missing.
 */
export function addParts(
  held: ReadonlyMap<string, ConfigurationPart>,
  offer: {
    readonly manifest: Manifest;
    readonly parts: readonly ConfigurationPart[];
  },
): ReadonlyMap<string, ConfigurationPart> {
  const named = new Set(offer.manifest.parts.map(({ digest }) => digest));
  const fitting = offer.parts
    .map((part) => [computeDigest(part), part] as const)
    .filter(([digest]) => named.has(digest));
  return fitting.length === 0 ? held : new Map([...held, ...fitting]);
}
