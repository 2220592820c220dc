import type { Version } from "../configuration/version.ts";
import type { VersionsState } from "./versions_state.ts";

/**
 * Returns the highest version that the node stores completely, in force or not.
 */
export function getHighestStoredVersion(
  versions: VersionsState,
): Version | undefined {
  return versions.candidate?.compiled.set.version ??
    versions.inForce?.set.version;
}
