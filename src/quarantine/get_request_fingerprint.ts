import { createHash } from "node:crypto";
import type { FingerprintedRequest } from "./fingerprinted_request.ts";

/** Long enough that no two requests of a fleet share a fingerprint. */
const fingerprintBytes = 12;

/**
 * Returns what identifies a request when it comes again, at any node and under
 * another call identifier: its method, host, path, caller and body.
 */
export function getRequestFingerprint(request: FingerprintedRequest): string {
  const { method, host, url, callerService, body } = request;
  // JSON separates the parts unambiguously.
  return createHash("sha256")
    .update(JSON.stringify([method, host, url, callerService]))
    .update(body)
    .digest()
    .subarray(0, fingerprintBytes)
    .toString("base64url");
}
