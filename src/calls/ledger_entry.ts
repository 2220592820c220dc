import type { LedgerEntryKind } from "./ledger_entry_kind.ts";
import type { LedgerServer } from "./ledger_server.ts";
import type { StoredAnswer } from "./stored_answer.ts";

/** The state of a key that a ledger has recorded. */
export type LedgerEntry =
  | {
    readonly kind: LedgerEntryKind.Fenced;
    /** The servers that queried the key; each of them may have run it since. */
    readonly fencers: readonly LedgerServer[];
  }
  | {
    readonly kind: LedgerEntryKind.Settling;
    readonly fingerprint: string;
    readonly attemptIdentifier: string;
    /**
     * The caller made no attempt before this instant, in milliseconds since the
     * Unix epoch; undefined if it did not state it.
     */
    readonly firstAttemptAt: number | undefined;
    /** The servers that fenced the key here before settling began. */
    readonly fencers: readonly LedgerServer[];
    /** Every server that was queried. */
    readonly queried: readonly LedgerServer[];
    /** Names of the servers whose reply is pending. */
    readonly pending: readonly string[];
  }
  | {
    readonly kind: LedgerEntryKind.Running;
    readonly fingerprint: string;
    readonly attemptIdentifier: string;
    /** Identifiers of the attempts that repeat the request and wait for the end of the run. */
    readonly joined: readonly string[];
  }
  | {
    readonly kind: LedgerEntryKind.Finished;
    readonly fingerprint: string;
    /** Undefined if the answer was too long to store. */
    readonly answer: StoredAnswer | undefined;
  }
  | { readonly kind: LedgerEntryKind.Unknown; readonly fingerprint: string };
