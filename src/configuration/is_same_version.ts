import type { Version } from "./version.ts";

/** Returns whether both are the same version or both are undefined. */
export function isSameVersion(
  left: Version | undefined,
  right: Version | undefined,
): boolean {
  return left?.number === right?.number && left?.digest === right?.digest;
}
