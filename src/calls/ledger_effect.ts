import type { KeySettlement } from "./key_settlement.ts";
import type { LedgerEffectKind } from "./ledger_effect_kind.ts";
import type { LedgerServer } from "./ledger_server.ts";
import type { RefusalReason } from "./refusal_reason.ts";
import type { StoredAnswer } from "./stored_answer.ts";

/** An action that `stepLedger` asks the node of the ledger to perform, with its details. */
export type LedgerEffect =
  | { readonly kind: LedgerEffectKind.Query; readonly server: LedgerServer }
  | {
    readonly kind: LedgerEffectKind.Allow | LedgerEffectKind.Join;
    readonly attemptIdentifier: string;
  }
  | {
    readonly kind: LedgerEffectKind.SendStoredAnswer;
    readonly attemptIdentifier: string;
    readonly answer: StoredAnswer;
  }
  | {
    readonly kind: LedgerEffectKind.Refuse;
    readonly attemptIdentifier: string;
    readonly reason: RefusalReason;
    /** Whether the ledger has an attempt that may have run. */
    readonly mayHaveRun: boolean;
  }
  | {
    readonly kind: LedgerEffectKind.Reply;
    readonly settlement: KeySettlement;
  };
