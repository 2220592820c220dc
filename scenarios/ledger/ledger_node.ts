import type { LedgerEntry } from "../../src/calls/ledger_entry.ts";
import type { LedgerServer } from "../../src/calls/ledger_server.ts";
import type { RefusedContact } from "../../src/calls/refused_contact.ts";

/** One node with its ledger, for the one key of a scenario. */
export interface LedgerNode {
  readonly server: LedgerServer;
  entry: LedgerEntry | undefined;
  /** By the node's own clock, in milliseconds since the Unix epoch. */
  ledgerSince: number;
  running: boolean;
  /** Raised with every start; a message to an earlier one is dropped. */
  incarnation: number;
  /** By how much the node's clock is ahead, in milliseconds. */
  readonly skewMilliseconds: number;
  /** The attempt that the backend server runs now. */
  runningAttempt: string | undefined;
  /** Since when other nodes, by rank, refuse connections. */
  readonly refusedContacts: Map<number, RefusedContact>;
}
