import { CallEffectKind } from "../call_effect_kind.ts";
import type { CallState } from "../call_state.ts";
import type { CallStep } from "../call_step.ts";
import { Outcome } from "../outcome.ts";
import type { Refusal } from "../refusal.ts";
import { endCall } from "./end_call.ts";

/** Refuses the call; "not run" only where every try was shown not to have run. */
export function refuseFinally(state: CallState, refusal: Refusal): CallStep {
  const keyOpen = state.repeatsPossible &&
    !(state.lastRefusal?.keySettled ?? false);
  const outcome = state.mayHaveRun || keyOpen
    ? Outcome.Unknown
    : Outcome.NotRun;
  return endCall(state, [
    { kind: CallEffectKind.Refuse, refusal: { ...refusal, outcome } },
  ]);
}
