import type { LedgerServer } from "./ledger_server.ts";
import type { SettlementKind } from "./settlement_kind.ts";
import type { StoredAnswer } from "./stored_answer.ts";

/** The reply of one ledger to another that queries a key. */
export type KeySettlement =
  | {
    readonly kind: SettlementKind.Finished;
    readonly fingerprint: string;
    /** Undefined if the answer was too long to store. */
    readonly answer: StoredAnswer | undefined;
  }
  | {
    readonly kind: SettlementKind.NotRun;
    /**
     * The ledger has recorded every run of the key on its server since this
     * instant, in milliseconds since the Unix epoch.
     */
    readonly ledgerSince: number;
    /** Other servers that have fenced the key and may run it. */
    readonly fencers: readonly LedgerServer[];
  }
  | { readonly kind: SettlementKind.Running | SettlementKind.Unknown };
