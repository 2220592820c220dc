import type { LedgerServer } from "./ledger_server.ts";

/** A server that has left the register and may have run keys before. */
export interface RemovedLedgerServer {
  readonly server: LedgerServer;
  /** When the server left the register, in milliseconds since the Unix epoch. */
  readonly removedAt: number;
}
