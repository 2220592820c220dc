import type { CallEffectKind } from "./call_effect_kind.ts";
import type { Refusal } from "./refusal.ts";
import type { StoredAnswer } from "./stored_answer.ts";

/** An action that `stepCall` asks the node of the caller to perform, with its details. */
export type CallEffect =
  | {
    readonly kind: CallEffectKind.StartAttempt;
    readonly attempt: number;
    readonly excluded: readonly string[];
  }
  | {
    readonly kind: CallEffectKind.AvoidNode;
    /** Whether no process listens at the node's address. */
    readonly processGone: boolean;
  }
  | { readonly kind: CallEffectKind.Refuse; readonly refusal: Refusal }
  | {
    readonly kind: CallEffectKind.SendStoredAnswer;
    readonly answer: StoredAnswer;
  }
  | {
    readonly kind: CallEffectKind.QueryOutcome;
    /** When the outcome query times out, in milliseconds since the Unix epoch. */
    readonly deadline: number;
  }
  | {
    readonly kind:
      | CallEffectKind.CancelAttempt
      | CallEffectKind.StopAvoiding
      | CallEffectKind.RenewConnections
      | CallEffectKind.SendAnswer
      | CallEffectKind.BeginStream
      | CallEffectKind.EndStream
      | CallEffectKind.AbortResponse
      | CallEffectKind.Abandon
      | CallEffectKind.SpendRetry;
  };
