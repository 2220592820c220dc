import type { Version } from "./version.ts";

/** Returns a negative number, 0 or a positive number as `left` is older than, equal to or newer than `right`. */
export function compareVersions(left: Version, right: Version): number {
  if (left.number !== right.number) {
    return left.number - right.number;
  }
  if (left.digest === right.digest) {
    return 0;
  }
  return left.digest < right.digest ? -1 : 1;
}
