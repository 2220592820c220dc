import type { Version } from "./version.ts";

/**
 * Returns a negative number if `left` is older than `right`, 0 if they are
 * equal, and a positive number if it is newer.
 */
export function compareVersions(left: Version, right: Version): number {
  if (left.number !== right.number) {
    return left.number - right.number;
  }
  if (left.digest === right.digest) {
    return 0;
  }
  return left.digest < right.digest ? -1 : 1;
}
