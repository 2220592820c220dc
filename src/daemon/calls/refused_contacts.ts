import type { LedgerServer } from "../../calls/ledger_server.ts";
import type { RefusedContact } from "../../calls/refused_contact.ts";

/** Follows nodes on which no process listens. */
export interface RefusedContacts {
  get(server: LedgerServer): RefusedContact | undefined;
  /** A connection to the node was refused; both instants are in milliseconds since the Unix epoch. */
  note(
    server: LedgerServer,
    refusal: { readonly begunAt: number; readonly refusedAt: number },
  ): void;
  /** The node may have a process again. */
  forget(server: LedgerServer): void;
  /** Ends the watch of every node. */
  stop(): void;
}
