import type { DispatchContext } from "../dispatch_context.ts";
import { DispatchEffectKind } from "../dispatch_effect_kind.ts";
import type { DispatchState } from "../dispatch_state.ts";
import type { DispatchStep } from "../dispatch_step.ts";
import { RefusalReason } from "../refusal_reason.ts";
import { interimResponseIntervalMilliseconds } from "../interim_response_interval_milliseconds.ts";
import { cancelDispatch } from "./cancel_dispatch.ts";
import { abortDispatch } from "./abort_dispatch.ts";

/**
 * Handles the attempt's timer: its deadline, a delayed cancellation or the next
 * interim response.
 */
export function handleDispatchTimer(
  state: DispatchState,
  context: DispatchContext,
): DispatchStep {
  if (context.now >= state.deadline) {
    return abortDispatch(state, RefusalReason.DeadlinePassed, context);
  }
  if (context.now >= state.cancelAt) {
    return cancelDispatch(state);
  }
  return context.now >= state.interimResponseAt
    ? {
      state: {
        ...state,
        interimResponseAt: context.now + interimResponseIntervalMilliseconds,
      },
      effects: [{ kind: DispatchEffectKind.SendInterimResponse }],
    }
    : { state, effects: [] };
}
