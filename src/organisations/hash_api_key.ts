import { createHash } from "node:crypto";

/**
 * Returns the SHA-256 hash of an API key in base64. Only hashes are kept in
 * memory and sent between nodes, so that no log or message can disclose a key.
 */
export function hashApiKey(key: string): string {
  return createHash("sha256").update(key).digest("base64");
}
