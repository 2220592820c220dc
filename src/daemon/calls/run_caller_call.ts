import type { ServerResponse } from "node:http";
import type { CallEvent } from "../../calls/call_event.ts";
import { CallEventKind } from "../../calls/call_event_kind.ts";
import { CallPhase } from "../../calls/call_phase.ts";
import type { CallerCall } from "../../calls/caller_call.ts";
import { createCallState } from "../../calls/create_call_state.ts";
import { depositCall } from "../../calls/deposit_call.ts";
import { isRetryAllowed } from "../../calls/is_retry_allowed.ts";
import { stepCall } from "../../calls/step_call.ts";
import type { CallerRun } from "./caller_run.ts";
import type { CallsNode } from "./calls_node.ts";
import { executeCallEffect } from "./execute_call_effect.ts";
import { createReschedulableTimer } from "./create_reschedulable_timer.ts";

/** Runs one call from a caller, from the choice of a backend server to the answer. */
export function runCallerCall(
  node: CallsNode,
  call: CallerCall,
  request: {
    readonly body: Uint8Array | undefined;
    /** When the request was received, in milliseconds since the Unix epoch. */
    readonly receivedAt: number;
    readonly response: ServerResponse;
  },
): void {
  const { clock, timers } = node.options.environment;
  const timer = createReschedulableTimer(
    timers,
    () => apply({ kind: CallEventKind.TimerFired }),
  );
  const apply = (event: CallEvent) => {
    const step = stepCall(run.state, event, {
      now: clock.now(),
      retryAllowed: isRetryAllowed(node.budget, call.route.priority),
    });
    run.state = step.state;
    step.effects.forEach((effect) => executeCallEffect(run, effect));
    timer.setInstant(run.state.wakeAt);
  };
  const run: CallerRun = {
    node,
    call,
    callIdentifier: node.createCallIdentifier(),
    ...request,
    apply,
    state: createCallState({
      idempotent: call.idempotent,
      repeatsPossible: call.key !== undefined && call.key.callerAttempt !== 1,
      deadline: call.deadline,
    }),
    currentAttempt: undefined,
    server: undefined,
    attemptStartedAt: 0,
    answer: undefined,
  };
  node.budget = depositCall(node.budget, call.snapshot.retryBudgetPercent);
  watchCallerConnection(run);
  apply({ kind: CallEventKind.Started });
}

/** Resumes the answer when the caller can receive more, and detects when the caller closes its connection. */
function watchCallerConnection(run: CallerRun): void {
  const { node, response } = run;
  const stop = () => run.apply({ kind: CallEventKind.Stopped });
  node.callerCalls.add(stop);
  response.on("drain", () => run.currentAttempt?.exchange?.resume());
  response.on("close", () => {
    node.callerCalls.delete(stop);
    if (!response.writableFinished && run.state.phase !== CallPhase.Ended) {
      run.apply({ kind: CallEventKind.CallerLeft });
    }
    node.onEnded();
  });
}
