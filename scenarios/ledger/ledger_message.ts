import type { KeySettlement } from "../../src/calls/key_settlement.ts";

/** A question between ledgers, or the answer to it, that is on its way. */
export interface LedgerMessage {
  /** Position in rank of the node that asks. */
  readonly querier: number;
  readonly querierIncarnation: number;
  readonly queried: number;
  readonly attemptIdentifier: string;
  /** When the question was sent, by the asker's clock. */
  readonly sentAt: number;
  /** Undefined in a question. */
  readonly settlement: KeySettlement | undefined;
}
