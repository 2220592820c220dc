import { ledgerQuietMilliseconds } from "./ledger_quiet_milliseconds.ts";
import type { RefusedContact } from "./refused_contact.ts";

/** Takes in one more refused connection; both instants are in milliseconds since the Unix epoch. */
export function extendRefusedContact(
  contact: RefusedContact | undefined,
  refusal: { readonly begunAt: number; readonly refusedAt: number },
): RefusedContact {
  const { begunAt, refusedAt } = refusal;
  const follows = contact !== undefined &&
    begunAt < contact.lastAt + ledgerQuietMilliseconds;
  return {
    since: follows ? contact.since : refusedAt,
    lastAt: follows ? Math.max(contact.lastAt, begunAt) : begunAt,
  };
}
