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
import { askOutcome } from "./ask_outcome.ts";
import { giveUpCall } from "./give_up_call.ts";
import { takeContactLoss } from "./take_contact_loss.ts";

/** How long a process may take to read what has come before silence counts. */
const readingMilliseconds = 50;

/** A wake-up this late shows that this process was held up. */
const heldUpMilliseconds = 100;

/** Takes note that the instant has come which the call waits for. */
export function wakeCall(state: CallState, context: CallContext): CallStep {
  if (context.now < state.wakeAt) {
    return { state, effects: [] };
  }
  const cancel: CallEffect = { kind: CallEffectKind.CancelTry };
  if (context.now >= state.deadline) {
    return late(state, context);
  }
  // A process that was itself held up has not looked at its connections yet.
  const heldUp = context.now - state.wakeAt > heldUpMilliseconds;
  return match(state.phase)
    .with(
      CallPhase.Sent,
      () =>
        heldUp || !state.silenceSuspected
          ? suspectSilence(state, context)
          : takeContactLoss(state, context, {
            before: [
              cancel,
              { kind: CallEffectKind.AvoidNode, processGone: false },
              { kind: CallEffectKind.RenewConnections },
            ],
          }),
    )
    .with(
      CallPhase.AwaitingOutcome,
      () => askOutcome(state, context, { before: [] }),
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
 * Gives this process the time to read what has come: timers run before
 * connections are read, so a process that was held up would take a sign that
 * waits in a socket buffer for silence.
 */
function suspectSilence(state: CallState, context: CallContext): CallStep {
  return {
    state: {
      ...state,
      silenceSuspected: true,
      wakeAt: Math.min(state.deadline, context.now + readingMilliseconds),
    },
    effects: [],
  };
}

function late(state: CallState, context: CallContext): CallStep {
  return giveUpCall(
    state,
    createRefusal(RefusalReason.DeadlinePassed, Outcome.NotRun, {
      now: context.now,
    }),
  );
}
