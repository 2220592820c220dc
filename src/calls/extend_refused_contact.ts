import { ledgerQuietMilliseconds } from "./ledger_quiet_milliseconds.ts";
import type { RefusedContact } from "./refused_contact.ts";

/**
 * Returns the period of refused connections after one more of them. The period
 * continues if the connection was begun within the ledgers' quiet period after
 * the last refused one; otherwise a new period starts. Both instants are in
 * milliseconds since the Unix epoch.
 */
export function extendRefusedContact(
  contact: RefusedContact | undefined,
  refusedConnection: { readonly begunAt: number; readonly refusedAt: number },
): RefusedContact {
  const { begunAt, refusedAt } = refusedConnection;
  const isContinuous = contact !== undefined &&
    begunAt < contact.lastAt + ledgerQuietMilliseconds;
  return {
    since: isContinuous ? contact.since : refusedAt,
    lastAt: isContinuous ? Math.max(contact.lastAt, begunAt) : begunAt,
  };
}
