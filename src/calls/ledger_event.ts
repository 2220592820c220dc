import type { KeySettlement } from "./key_settlement.ts";
import type { LedgerEventKind } from "./ledger_event_kind.ts";
import type { LedgerServer } from "./ledger_server.ts";
import type { RefusedContact } from "./refused_contact.ts";
import type { SettlementKind } from "./settlement_kind.ts";
import type { StoredAnswer } from "./stored_answer.ts";

/** What can happen to a key in a ledger, with the details. */
export type LedgerEvent =
  | {
    readonly kind: LedgerEventKind.Requested;
    readonly fingerprint: string;
    readonly attemptIdentifier: string;
    /** No attempt was made before this instant, in milliseconds since the Unix epoch. */
    readonly firstAttemptAt: number | undefined;
    /** The servers that may have run the key before this one became its owner. */
    readonly predecessors: readonly LedgerServer[];
  }
  | {
    readonly kind: LedgerEventKind.Answered;
    readonly from: string;
    readonly attemptIdentifier: string;
    readonly settlement: KeySettlement;
  }
  | {
    readonly kind: LedgerEventKind.Unanswered;
    readonly from: string;
    readonly attemptIdentifier: string;
    /** When the server's VM was seen to be gone, in milliseconds since the Unix epoch. */
    readonly goneAt: number | undefined;
    /** For how long connections have been refused; undefined where this one was not. */
    readonly refused: RefusedContact | undefined;
  }
  | { readonly kind: LedgerEventKind.Asked; readonly by: LedgerServer }
  | {
    readonly kind: LedgerEventKind.Concluded;
    readonly attemptIdentifier: string;
    readonly outcome:
      | SettlementKind.Finished
      | SettlementKind.NotRun
      | SettlementKind.Unknown;
    readonly answer: StoredAnswer | undefined;
  };
