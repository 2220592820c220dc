import type { LedgerServer } from "./ledger_server.ts";
import type { SettlementKind } from "./settlement_kind.ts";
import type { StoredAnswer } from "./stored_answer.ts";

/** What one ledger tells another about a key. */
export type KeySettlement =
  | {
    readonly kind: SettlementKind.Finished;
    readonly fingerprint: string;
    /** Undefined where the answer was too long to keep. */
    readonly answer: StoredAnswer | undefined;
  }
  | {
    readonly kind: SettlementKind.NotRun;
    /** The key cannot have run here unseen after this instant, in milliseconds since the Unix epoch. */
    readonly ledgerSince: number;
    /** Other servers that may run the key. */
    readonly fencers: readonly LedgerServer[];
  }
  | { readonly kind: SettlementKind.Running | SettlementKind.Unknown };
