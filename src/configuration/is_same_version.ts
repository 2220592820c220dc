import type { Version } from "./version.ts";

/** Whether both are the same version, or both absent. */
export function isSameVersion(
  left: Version | undefined,
  right: Version | undefined,
): boolean {
  return left?.number === right?.number && left?.digest === right?.digest;
}
