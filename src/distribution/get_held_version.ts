import type { Version } from "../configuration/version.ts";
import type { VersionsState } from "./versions_state.ts";

/** Returns the highest version that the node holds whole, in force or not. */
export function getHeldVersion(versions: VersionsState): Version | undefined {
  return versions.candidate?.compiled.set.version ??
    versions.inForce?.set.version;
}
