import type { DispatchContext } from "../dispatch_context.ts";
import { DispatchEffectKind } from "../dispatch_effect_kind.ts";
import type { DispatchState } from "../dispatch_state.ts";
import type { DispatchStep } from "../dispatch_step.ts";
import { RefusalReason } from "../refusal_reason.ts";
import { signIntervalMilliseconds } from "../sign_interval_milliseconds.ts";
import { cancelDispatch } from "./cancel_dispatch.ts";
import { giveUpDispatch } from "./give_up_dispatch.ts";

/** Takes note that the instant has come which the try waits for. */
export function wakeDispatch(
  state: DispatchState,
  context: DispatchContext,
): DispatchStep {
  if (context.now >= state.deadline) {
    return giveUpDispatch(state, RefusalReason.DeadlinePassed, context);
  }
  if (context.now >= state.cancelAt) {
    return cancelDispatch(state);
  }
  return context.now >= state.signAt
    ? {
      state: { ...state, signAt: context.now + signIntervalMilliseconds },
      effects: [{ kind: DispatchEffectKind.SendSign }],
    }
    : { state, effects: [] };
}
