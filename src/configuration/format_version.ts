import type { Version } from "./version.ts";

const shortDigestCharacters = 12;

/** Formats a version with a shortened digest for display, for example `18 (3fa9c2d1e0b4)`. */
export function formatVersion(version: Version): string {
  return `${version.number} (${
    version.digest.slice(0, shortDigestCharacters)
  })`;
}
