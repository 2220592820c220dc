import type { KeySettlement } from "../../src/calls/key_settlement.ts";

/** A query from one ledger to another, or the reply to it, in transit. */
export interface LedgerMessage {
  /** Position in rank of the node that sends the query. */
  readonly querier: number;
  /** Incarnation of that node when it sent the query. */
  readonly querierIncarnation: number;
  /** Position in rank of the queried node. */
  readonly queried: number;
  readonly attemptIdentifier: string;
  /** When the query was sent, by the clock of the node that sent it. */
  readonly sentAt: number;
  /** Undefined in a query. */
  readonly settlement: KeySettlement | undefined;
}
