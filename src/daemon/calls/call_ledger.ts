import type { ForwardedCall } from "../../calls/forwarded_call.ts";
import type { KeySettlement } from "../../calls/key_settlement.ts";
import type { LedgerServer } from "../../calls/ledger_server.ts";
import type { RefusalReason } from "../../calls/refusal_reason.ts";
import type { SettlementKind } from "../../calls/settlement_kind.ts";
import type { StoredAnswer } from "../../calls/stored_answer.ts";
import type { Snapshot } from "../../configuration/snapshot.ts";

/** Stores the idempotency keys owned by the backend server beside this node. */
export interface CallLedger {
  /**
   * Requests permission to run a call, which must have a key. Exactly one of
   * `onAllowed`, `onAnswered` and `onRefused` is called, synchronously or later;
   * `onJoined` may precede it.
   */
  request(
    call: ForwardedCall,
    callbacks: {
      readonly onAllowed: () => void;
      /** The call repeats a running one; another callback follows when that one ends. */
      readonly onJoined: () => void;
      readonly onAnswered: (answer: StoredAnswer) => void;
      readonly onRefused: (refused: {
        readonly reason: RefusalReason;
        /** Whether an attempt that the ledger has recorded may have run. */
        readonly mayHaveRun: boolean;
      }) => void;
    },
  ): void;
  /** Records the end of a call with a key that was allowed to run, or that stopped waiting. */
  recordAttemptEnd(
    call: ForwardedCall,
    end: {
      readonly outcome:
        | SettlementKind.Finished
        | SettlementKind.NotRun
        | SettlementKind.Unknown;
      readonly answer: StoredAnswer | undefined;
    },
  ): void;
  /** Returns the settlement of a key that the ledger of the backend server `by` queries, and fences the key on its behalf. */
  handleKeyQuery(
    query: { readonly service: string; readonly key: string },
    by: LedgerServer,
  ): KeySettlement;
  /** Records that a connection to the node beside a server was refused; both instants are in milliseconds since the Unix epoch. */
  recordRefusedContact(
    server: LedgerServer,
    refusedConnection: { readonly begunAt: number; readonly refusedAt: number },
  ): void;
  /** Cancels all timers. */
  stop(): void;
  /** Updates the register from a snapshot. */
  applySnapshot(snapshot: Snapshot): void;
}
