import type { LedgerServer } from "../../calls/ledger_server.ts";
import type { RefusedContact } from "../../calls/refused_contact.ts";

/** Tracks nodes on which no process listens. */
export interface RefusedContacts {
  get(server: LedgerServer): RefusedContact | undefined;
  /** Records that a connection to the node was refused; both instants are in milliseconds since the Unix epoch. */
  record(
    server: LedgerServer,
    refusedConnection: { readonly begunAt: number; readonly refusedAt: number },
  ): void;
  /** Stops tracking a node, since a process may listen on it again. */
  remove(server: LedgerServer): void;
  /** Stops tracking all nodes. */
  stop(): void;
}
