import type { DispatchResult } from "../admission/dispatch_result.ts";
import type { DispatchEffectKind } from "./dispatch_effect_kind.ts";
import type { NodeRefusal } from "./node_refusal.ts";
import type { SettlementKind } from "./settlement_kind.ts";
import type { StoredAnswer } from "./stored_answer.ts";

/**
 * An action that `stepDispatch` asks the node beside the backend server to
 * perform, with its details.
 */
export type DispatchEffect =
  | {
    readonly kind: DispatchEffectKind.Report;
    readonly result: DispatchResult;
    /** In milliseconds since the Unix epoch. */
    readonly dispatchedAt: number;
  }
  | {
    readonly kind: DispatchEffectKind.RecordOutcome;
    readonly outcome:
      | SettlementKind.Finished
      | SettlementKind.NotRun
      | SettlementKind.Unknown;
    /** Whether the buffered answer is complete and is recorded with the outcome. */
    readonly withAnswer: boolean;
  }
  | { readonly kind: DispatchEffectKind.Refuse; readonly refusal: NodeRefusal }
  | {
    readonly kind: DispatchEffectKind.SendStoredAnswer;
    readonly answer: StoredAnswer;
  }
  | {
    readonly kind:
      | DispatchEffectKind.ConsultLedger
      | DispatchEffectKind.RequestSlot
      | DispatchEffectKind.WithdrawRequest
      | DispatchEffectKind.Dispatch
      | DispatchEffectKind.CancelDispatch
      | DispatchEffectKind.SendAnswer
      | DispatchEffectKind.BeginStream
      | DispatchEffectKind.EndStream
      | DispatchEffectKind.AbortStream
      | DispatchEffectKind.SendInterimResponse;
  };
