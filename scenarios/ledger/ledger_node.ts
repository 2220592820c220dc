import type { LedgerEntry } from "../../src/calls/ledger_entry.ts";
import type { LedgerServer } from "../../src/calls/ledger_server.ts";
import type { RefusedContact } from "../../src/calls/refused_contact.ts";

/** A node with the entry of its ledger for the key of the simulation. */
export interface LedgerNode {
  readonly server: LedgerServer;
  entry: LedgerEntry | undefined;
  /** Start of the ledger by the node's clock, in milliseconds since the Unix epoch. */
  ledgerSince: number;
  running: boolean;
  /** Incremented with every start; a message to an earlier incarnation is dropped. */
  incarnation: number;
  /** By how much the node's clock is ahead, in milliseconds. */
  readonly skewMilliseconds: number;
  /** The attempt that the backend server is running. */
  runningAttempt: string | undefined;
  /** Refused connections to other nodes, by position in rank. */
  readonly refusedContacts: Map<number, RefusedContact>;
}
