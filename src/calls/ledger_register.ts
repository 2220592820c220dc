import type { LedgerServer } from "./ledger_server.ts";
import type { RemovedLedgerServer } from "./removed_ledger_server.ts";

/** The servers that own keys of the same service as a ledger, from the register. */
export interface LedgerRegister {
  /**
   * The service whose keys the ledger records; undefined before the first
   * snapshot that contains its server.
   */
  readonly service: string | undefined;
  /** The ledger's own server; undefined while it is not in the register. */
  readonly own: LedgerServer | undefined;
  /** All servers of the service, in the order of the register. */
  readonly servers: readonly LedgerServer[];
  /** Servers that left the register within the lifetime of keys. */
  readonly removed: readonly RemovedLedgerServer[];
  /**
   * Since when the ledger has recorded every key that its server owns, in
   * milliseconds since the Unix epoch.
   */
  readonly ledgerSince: number;
}
