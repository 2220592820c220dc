import { createHash } from "node:crypto";
import canonicalize from "canonicalize";

/**
 * Returns SHA-256 over the canonical JSON of `value`, as 64 lower-case
 * hexadecimal digits, so that neither spacing nor the order of fields matters.
 */
export function computeDigest(value: object): string {
  return createHash("sha256").update(canonicalize(value) ?? "").digest("hex");
}
