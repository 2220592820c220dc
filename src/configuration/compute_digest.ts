import { createHash } from "node:crypto";
import canonicalize from "canonicalize";

/**
 * Returns the SHA-256 digest of the canonical JSON of `value` as 64 lower-case
 * hexadecimal digits. White space and the order of fields do not affect it.
 */
export function computeDigest(value: object): string {
  return createHash("sha256").update(canonicalize(value) ?? "").digest("hex");
}
