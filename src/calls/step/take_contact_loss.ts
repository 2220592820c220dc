import type { CallContext } from "../call_context.ts";
import type { CallEffect } from "../call_effect.ts";
import { CallEffectKind } from "../call_effect_kind.ts";
import { CallPhase } from "../call_phase.ts";
import type { CallState } from "../call_state.ts";
import type { CallStep } from "../call_step.ts";
import { createRefusal } from "../create_refusal.ts";
import { Outcome } from "../outcome.ts";
import { RefusalReason } from "../refusal_reason.ts";
import { askOutcome } from "./ask_outcome.ts";
import { endCall } from "./end_call.ts";
import { tryElsewhere } from "./try_elsewhere.ts";

/** Takes a loss of contact: the try may have run. */
export function takeContactLoss(
  state: CallState,
  context: CallContext,
  { before }: { readonly before: readonly CallEffect[] },
): CallStep {
  if (state.phase === CallPhase.Streaming) {
    return endCall(state, [...before, { kind: CallEffectKind.BreakCaller }]);
  }
  if (state.idempotent) {
    const step = tryElsewhere(
      { ...state, mayHaveRun: true },
      context,
      {
        keySettled: false,
        refusal: createRefusal(
          RefusalReason.ContactLost,
          Outcome.Unknown,
          { now: context.now },
        ),
      },
    );
    return { ...step, effects: [...before, ...step.effects] };
  }
  return askOutcome(state, context, { before });
}
