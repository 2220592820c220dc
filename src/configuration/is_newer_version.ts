import { compareVersions } from "./compare_versions.ts";
import type { Version } from "./version.ts";

/** Returns whether `version` is newer than `other`; any version is newer than `undefined`. */
export function isNewerVersion(
  version: Version | undefined,
  other: Version | undefined,
): boolean {
  return version !== undefined &&
    (other === undefined || compareVersions(version, other) > 0);
}
