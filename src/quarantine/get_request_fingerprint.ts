import { hash } from "node:crypto";
import type { FingerprintedRequest } from "./fingerprinted_request.ts";

/** 12 bytes in base64url: no two requests of a fleet share a fingerprint. */
const fingerprintCharacters = 16;

/**
 * Returns what identifies a request when it comes again, at any node and under
 * another call identifier: its method, host, path, caller and body.
 */
export function getRequestFingerprint(request: FingerprintedRequest): string {
  const { method, host, url, callerService, body } = request;
  // JSON separates the parts unambiguously.
  const head = JSON.stringify([method, host, url, callerService]);
  const input = body.length === 0
    ? head
    : Buffer.concat([Buffer.from(head), body]);
  return hash("sha256", input, "base64url").slice(0, fingerprintCharacters);
}
