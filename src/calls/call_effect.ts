import type { CallEffectKind } from "./call_effect_kind.ts";
import type { Refusal } from "./refusal.ts";
import type { StoredAnswer } from "./stored_answer.ts";

/** What the node that took a call has to do next, with the details. */
export type CallEffect =
  | {
    readonly kind: CallEffectKind.Try;
    readonly attempt: number;
    readonly excluded: readonly string[];
  }
  | {
    readonly kind: CallEffectKind.AvoidNode;
    /** Whether no process listens there. */
    readonly processGone: boolean;
  }
  | { readonly kind: CallEffectKind.Refuse; readonly refusal: Refusal }
  | {
    readonly kind: CallEffectKind.SendStoredAnswer;
    readonly answer: StoredAnswer;
  }
  | {
    readonly kind: CallEffectKind.Settle;
    /** When the answer to the question is no longer waited for, in milliseconds since the Unix epoch. */
    readonly deadline: number;
  }
  | {
    readonly kind:
      | CallEffectKind.CancelTry
      | CallEffectKind.StopAvoiding
      | CallEffectKind.RenewConnections
      | CallEffectKind.SendAnswer
      | CallEffectKind.BeginStream
      | CallEffectKind.EndStream
      | CallEffectKind.BreakCaller
      | CallEffectKind.Abandon
      | CallEffectKind.SpendRetry;
  };
