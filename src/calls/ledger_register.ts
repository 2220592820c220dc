import type { LedgerServer } from "./ledger_server.ts";
import type { RemovedLedgerServer } from "./removed_ledger_server.ts";

/** What a ledger knows of the servers that share its keys. */
export interface LedgerRegister {
  /** The service whose keys the ledger keeps; undefined before the first snapshot that names its server. */
  readonly service: string | undefined;
  /** The ledger's own server; undefined while the register does not have it. */
  readonly own: LedgerServer | undefined;
  /** All servers of the service, in the order of the register. */
  readonly servers: readonly LedgerServer[];
  /** Servers that have left the register within the lifetime of keys. */
  readonly removed: readonly RemovedLedgerServer[];
  /** From when on the ledger sees every key that its server owns, in milliseconds since the Unix epoch. */
  readonly ledgerSince: number;
}
