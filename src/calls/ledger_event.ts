import type { KeySettlement } from "./key_settlement.ts";
import type { LedgerEventKind } from "./ledger_event_kind.ts";
import type { LedgerServer } from "./ledger_server.ts";
import type { RefusedContact } from "./refused_contact.ts";
import type { SettlementKind } from "./settlement_kind.ts";
import type { StoredAnswer } from "./stored_answer.ts";

/** An event of a key in a ledger, with its details. */
export type LedgerEvent =
  | {
    readonly kind: LedgerEventKind.Requested;
    readonly fingerprint: string;
    readonly attemptIdentifier: string;
    /**
     * The caller made no attempt before this instant, in milliseconds since the
     * Unix epoch; undefined if it did not state it.
     */
    readonly firstAttemptAt: number | undefined;
    /** The servers that may have run the key before this one became its owner. */
    readonly predecessors: readonly LedgerServer[];
  }
  | {
    readonly kind: LedgerEventKind.SettlementReceived;
    readonly from: string;
    readonly attemptIdentifier: string;
    readonly settlement: KeySettlement;
  }
  | {
    readonly kind: LedgerEventKind.SettlementMissing;
    readonly from: string;
    readonly attemptIdentifier: string;
    /**
     * When the server's VM was found to be gone, in milliseconds since the Unix
     * epoch; undefined if it is not.
     */
    readonly goneAt: number | undefined;
    /**
     * The period of refused connections to the server's node; undefined if this
     * connection was not refused.
     */
    readonly refused: RefusedContact | undefined;
  }
  | { readonly kind: LedgerEventKind.Queried; readonly by: LedgerServer }
  | {
    readonly kind: LedgerEventKind.AttemptEnded;
    readonly attemptIdentifier: string;
    readonly outcome:
      | SettlementKind.Finished
      | SettlementKind.NotRun
      | SettlementKind.Unknown;
    readonly answer: StoredAnswer | undefined;
  };
