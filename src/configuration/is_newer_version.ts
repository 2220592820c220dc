import { compareVersions } from "./compare_versions.ts";
import type { Version } from "./version.ts";

/** Whether `version` is newer than `other`, where any version is newer than none. */
export function isNewerVersion(
  version: Version | undefined,
  other: Version | undefined,
): boolean {
  return version !== undefined &&
    (other === undefined || compareVersions(version, other) > 0);
}
