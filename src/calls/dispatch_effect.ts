import type { DispatchResult } from "../admission/dispatch_result.ts";
import type { DispatchEffectKind } from "./dispatch_effect_kind.ts";
import type { NodeRefusal } from "./node_refusal.ts";
import type { SettlementKind } from "./settlement_kind.ts";
import type { StoredAnswer } from "./stored_answer.ts";

/** What the node beside a backend server has to do next for a try, with the details. */
export type DispatchEffect =
  | {
    readonly kind: DispatchEffectKind.Report;
    readonly result: DispatchResult;
    /** In milliseconds since the Unix epoch. */
    readonly dispatchedAt: number;
  }
  | {
    readonly kind: DispatchEffectKind.Conclude;
    readonly outcome:
      | SettlementKind.Finished
      | SettlementKind.NotRun
      | SettlementKind.Unknown;
    /** Whether the held answer is whole and goes with the outcome. */
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
      | DispatchEffectKind.BreakStream
      | DispatchEffectKind.SendSign;
  };
