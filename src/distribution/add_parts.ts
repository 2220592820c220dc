import { computeDigest } from "../configuration/compute_digest.ts";
import type { ConfigurationPart } from "../configuration/configuration_part.ts";
import type { Manifest } from "../configuration/manifest.ts";

/**
 * Returns the stored parts together with the received parts that the manifest
 * names. Parts are matched by the digest of their content, so a corrupt part
 * counts as missing.
 */
export function addParts(
  storedParts: ReadonlyMap<string, ConfigurationPart>,
  received: {
    readonly manifest: Manifest;
    readonly parts: readonly ConfigurationPart[];
  },
): ReadonlyMap<string, ConfigurationPart> {
  const manifestDigests = new Set(
    received.manifest.parts.map(({ digest }) => digest),
  );
  const matchingParts = received.parts
    .map((part) => [computeDigest(part), part] as const)
    .filter(([digest]) => manifestDigests.has(digest));
  return matchingParts.length === 0
    ? storedParts
    : new Map([...storedParts, ...matchingParts]);
}
