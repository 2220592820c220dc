import { randomUUID } from "node:crypto";

/** Returns an identifier for a call whose caller sent none. */
export function createCallIdentifier(): string {
  return randomUUID();
}
