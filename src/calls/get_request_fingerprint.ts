import { createHash } from "node:crypto";

/**
 * Returns a digest that distinguishes a repeated request from a different one
 * with the same key.
 */
export function getRequestFingerprint(
  request: {
    readonly method: string;
    readonly path: string;
    readonly body: Uint8Array | undefined;
  },
): string {
  return createHash("sha256")
    .update(`${request.method}\n${request.path}\n`)
    .update(request.body ?? "")
    .digest("base64url");
}
