import type { Version } from "./version.ts";

const shownDigestCharacters = 12;

/** Returns the short form for people, for example `18 (3fa9c2d1e0b4)`. */
export function formatVersion(version: Version): string {
  return `${version.number} (${
    version.digest.slice(0, shownDigestCharacters)
  })`;
}
