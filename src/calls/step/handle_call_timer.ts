import { match, P } from "ts-pattern";
import type { CallContext } from "../call_context.ts";
import type { CallEffect } from "../call_effect.ts";
import { CallEffectKind } from "../call_effect_kind.ts";
import { CallPhase } from "../call_phase.ts";
import type { CallState } from "../call_state.ts";
import type { CallStep } from "../call_step.ts";
import { createRefusal } from "../create_refusal.ts";
import { Outcome } from "../outcome.ts";
import { RefusalReason } from "../refusal_reason.ts";
import { queryOutcome } from "./query_outcome.ts";
import { abortCall } from "./abort_call.ts";
import { handleContactLoss } from "./handle_contact_loss.ts";

/**
 * How long this process may take to read data that has arrived before silence
 * counts as a lost connection.
 */
const socketReadMilliseconds = 50;

/**
 * The delay of a timer above which the process is assumed to have been paused,
 * or its event loop to have been blocked.
 */
const lateTimerMilliseconds = 100;

/** Handles the call's timer: its deadline, the silence timeout or the next outcome query. */
export function handleCallTimer(
  state: CallState,
  context: CallContext,
): CallStep {
  if (context.now < state.wakeAt) {
    return { state, effects: [] };
  }
  const cancel: CallEffect = { kind: CallEffectKind.CancelAttempt };
  if (context.now >= state.deadline) {
    return abortPastDeadline(state, context);
  }
  // After such a delay this process has not read its sockets yet.
  const isTimerLate = context.now - state.wakeAt > lateTimerMilliseconds;
  return match(state.phase)
    .with(
      CallPhase.Sent,
      () =>
        isTimerLate || !state.silenceSuspected
          ? suspectSilence(state, context)
          : handleContactLoss(state, context, {
            before: [
              cancel,
              { kind: CallEffectKind.AvoidNode, processGone: false },
              { kind: CallEffectKind.RenewConnections },
            ],
          }),
    )
    .with(
      CallPhase.AwaitingOutcome,
      () => queryOutcome(state, context, { before: [] }),
    )
    .with(
      P.union(
        CallPhase.Choosing,
        CallPhase.Settling,
        CallPhase.Streaming,
        CallPhase.Ended,
      ),
      () => ({ state, effects: [] }),
    )
    .exhaustive();
}

/**
 * Gives this process time to read data that has arrived. Timers run before
 * sockets are read, so a process that was blocked would otherwise mistake an
 * unread interim response for silence.
 */
function suspectSilence(state: CallState, context: CallContext): CallStep {
  return {
    state: {
      ...state,
      silenceSuspected: true,
      wakeAt: Math.min(state.deadline, context.now + socketReadMilliseconds),
    },
    effects: [],
  };
}

function abortPastDeadline(state: CallState, context: CallContext): CallStep {
  return abortCall(
    state,
    createRefusal(RefusalReason.DeadlinePassed, Outcome.NotRun, {
      now: context.now,
    }),
  );
}
