import type { LedgerEntryKind } from "./ledger_entry_kind.ts";
import type { LedgerServer } from "./ledger_server.ts";
import type { StoredAnswer } from "./stored_answer.ts";

/** What a ledger knows of a key that it has seen. */
export type LedgerEntry =
  | {
    readonly kind: LedgerEntryKind.Fenced;
    /** The servers that asked; each of them may have run the key since. */
    readonly fencers: readonly LedgerServer[];
  }
  | {
    readonly kind: LedgerEntryKind.Settling;
    readonly fingerprint: string;
    readonly attemptIdentifier: string;
    /** No attempt was made before this instant, in milliseconds since the Unix epoch. */
    readonly firstAttemptAt: number | undefined;
    /** The servers that fenced the key here before the settling began. */
    readonly fencers: readonly LedgerServer[];
    /** Every server that was asked. */
    readonly asked: readonly LedgerServer[];
    /** Names of the servers whose answer is still to come. */
    readonly pending: readonly string[];
  }
  | {
    readonly kind: LedgerEntryKind.Running;
    readonly fingerprint: string;
    readonly attemptIdentifier: string;
    /** Attempts that repeat the request and wait for the end of the run. */
    readonly joined: readonly string[];
  }
  | {
    readonly kind: LedgerEntryKind.Finished;
    readonly fingerprint: string;
    /** Undefined where the answer was too long to keep. */
    readonly answer: StoredAnswer | undefined;
  }
  | { readonly kind: LedgerEntryKind.Unknown; readonly fingerprint: string };
