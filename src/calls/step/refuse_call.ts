import { CallEffectKind } from "../call_effect_kind.ts";
import type { CallState } from "../call_state.ts";
import type { CallStep } from "../call_step.ts";
import { Outcome } from "../outcome.ts";
import type { Refusal } from "../refusal.ts";
import { endCall } from "./end_call.ts";

/** Refuses the call, with the outcome "not-run" only if every attempt is shown not to have run. */
export function refuseCall(state: CallState, refusal: Refusal): CallStep {
  const isKeyUnsettled = state.repeatsPossible &&
    !(state.lastRefusal?.keySettled ?? false);
  const outcome = state.mayHaveRun || isKeyUnsettled
    ? Outcome.Unknown
    : Outcome.NotRun;
  return endCall(state, [
    { kind: CallEffectKind.Refuse, refusal: { ...refusal, outcome } },
  ]);
}
