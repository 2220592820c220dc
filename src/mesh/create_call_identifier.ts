import { randomUUID } from "node:crypto";

/** Names a call whose caller gave it no name. */
export function createCallIdentifier(): string {
  return randomUUID();
}
