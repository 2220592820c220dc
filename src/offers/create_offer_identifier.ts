import { randomBytes } from "node:crypto";

const identifierBytes = 8;

/** Returns an identifier that no other offer of any node has. */
export function createOfferIdentifier(): string {
  return randomBytes(identifierBytes).toString("base64url");
}
