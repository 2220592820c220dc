import type { ForwardedCall } from "../../calls/forwarded_call.ts";
import type { KeySettlement } from "../../calls/key_settlement.ts";
import type { LedgerServer } from "../../calls/ledger_server.ts";
import type { RefusalReason } from "../../calls/refusal_reason.ts";
import type { SettlementKind } from "../../calls/settlement_kind.ts";
import type { StoredAnswer } from "../../calls/stored_answer.ts";
import type { Snapshot } from "../../configuration/snapshot.ts";

/** Keeps the keys that the backend server beside this node owns. */
export interface CallLedger {
  /** Asks whether a call may run, which must have a key; exactly one of the callbacks is called, at once or later, and perhaps `onJoined` before it. */
  request(
    call: ForwardedCall,
    callbacks: {
      readonly onAllowed: () => void;
      /** The call repeats one that is running; another callback follows its end. */
      readonly onJoined: () => void;
      readonly onAnswered: (answer: StoredAnswer) => void;
      readonly onRefused: (refused: {
        readonly reason: RefusalReason;
        /** Whether the ledger knows of an attempt that may have run. */
        readonly mayHaveRun: boolean;
      }) => void;
    },
  ): void;
  /** Reports how a call with a key that was allowed, or gave up waiting, has ended. */
  conclude(
    call: ForwardedCall,
    end: {
      readonly outcome:
        | SettlementKind.Finished
        | SettlementKind.NotRun
        | SettlementKind.Unknown;
      readonly answer: StoredAnswer | undefined;
    },
  ): void;
  /** Answers another owner and fences the key for it. */
  settle(
    question: { readonly service: string; readonly key: string },
    by: LedgerServer,
  ): KeySettlement;
  /** A connection to the node beside a server was refused; both instants are in milliseconds since the Unix epoch. */
  noteRefusedContact(
    server: LedgerServer,
    refusal: { readonly begunAt: number; readonly refusedAt: number },
  ): void;
  /** Ends all timers. */
  stop(): void;
  /** Learns which servers the register has. */
  applySnapshot(snapshot: Snapshot): void;
}
