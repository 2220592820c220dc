import test from "ava";
import fastCheck from "fast-check";
import { CallEventKind } from "../../src/calls/call_event_kind.ts";
import type { DispatchEvent } from "../../src/calls/dispatch_event.ts";
import { DispatchEventKind } from "../../src/calls/dispatch_event_kind.ts";
import { RefusalReason } from "../../src/calls/refusal_reason.ts";
import { deliverForwardedAttempt } from "./deliver_forwarded_attempt.ts";
import { createForwardingSimulation } from "./create_forwarding_simulation.ts";
import type { ForwardedAttempt } from "./forwarded_attempt.ts";
import type { ForwardingSimulation } from "./forwarding_simulation.ts";
import { breakAttemptConnection } from "./break_attempt_connection.ts";
import { advanceForwardingTime } from "./advance_forwarding_time.ts";
import { receiveAttemptReply } from "./receive_attempt_reply.ts";
import { answerOutcomeQuery } from "./answer_outcome_query.ts";
import { stepForwardedCall } from "./step_forwarded_call.ts";
import { stepForwardedAttempt } from "./step_forwarded_attempt.ts";

type Action = (simulation: ForwardingSimulation) => void;

const seed = 7;
const runs = 20_000;
const actionsMinimum = 10;
const actionsMaximum = 40;
const deadlineMilliseconds = 4000;
const delayMaximumMilliseconds = 600;
const runningEvents: readonly DispatchEvent[] = [
  { kind: DispatchEventKind.AnswerCompleted, overloaded: false },
  { kind: DispatchEventKind.Broken },
];

const attemptIndexArbitrary = fastCheck.constantFrom(0, 0, 0, 1, 1, 2);
const actionArbitrary = fastCheck.oneof(
  {
    weight: 4,
    arbitrary: attemptIndexArbitrary.map((index) =>
      onAttempt(index, deliverForwardedAttempt)
    ),
  },
  {
    weight: 4,
    arbitrary: attemptIndexArbitrary.map((index) => onAttempt(index, admit)),
  },
  {
    weight: 3,
    arbitrary: attemptIndexArbitrary.map((index) =>
      onAttempt(index, refuseAdmission)
    ),
  },
  {
    weight: 2,
    arbitrary: fastCheck.tuple(
      attemptIndexArbitrary,
      fastCheck.constantFrom(...runningEvents),
    )
      .map(([index, event]) =>
        onAttempt(
          index,
          (simulation, attempt) =>
            stepRunningAttempt(simulation, attempt, event),
        )
      ),
  },
  {
    weight: 4,
    arbitrary: attemptIndexArbitrary.map((index) =>
      onAttempt(index, receiveAttemptReply)
    ),
  },
  {
    weight: 2,
    arbitrary: attemptIndexArbitrary.map((index) =>
      onAttempt(index, breakAttemptConnection)
    ),
  },
  {
    weight: 1,
    arbitrary: attemptIndexArbitrary.map((index) =>
      onAttempt(index, detectClosedConnection)
    ),
  },
  {
    weight: 1,
    arbitrary: attemptIndexArbitrary.map((index) =>
      onAttempt(index, fireAttemptTimer)
    ),
  },
  { weight: 3, arbitrary: fastCheck.constant(answerOutcomeQuery) },
  { weight: 1, arbitrary: fastCheck.constant(failOutcomeQuery) },
  {
    weight: 3,
    arbitrary: fastCheck.nat(delayMaximumMilliseconds).map((milliseconds) =>
      advanceTime(milliseconds)
    ),
  },
);

function onAttempt(
  index: number,
  run: (simulation: ForwardingSimulation, attempt: ForwardedAttempt) => void,
): Action {
  return (simulation) => {
    const attempt = simulation.attempts[index];
    if (attempt !== undefined) {
      run(simulation, attempt);
    }
  };
}

function admit(
  simulation: ForwardingSimulation,
  attempt: ForwardedAttempt,
): void {
  if (attempt.runs === 0) {
    stepForwardedAttempt(simulation, attempt, {
      kind: DispatchEventKind.Admitted,
    });
  }
}

function refuseAdmission(
  simulation: ForwardingSimulation,
  attempt: ForwardedAttempt,
): void {
  if (attempt.runs === 0) {
    stepForwardedAttempt(simulation, attempt, {
      kind: DispatchEventKind.AdmissionRefused,
      reason: RefusalReason.Full,
      retryAt: simulation.now,
    });
  }
}

function stepRunningAttempt(
  simulation: ForwardingSimulation,
  attempt: ForwardedAttempt,
  event: DispatchEvent,
): void {
  if (attempt.runs > 0) {
    stepForwardedAttempt(simulation, attempt, event);
  }
}

function detectClosedConnection(
  simulation: ForwardingSimulation,
  attempt: ForwardedAttempt,
): void {
  if (!attempt.connected) {
    stepForwardedAttempt(simulation, attempt, {
      kind: DispatchEventKind.ContactLost,
    });
  }
}

function fireAttemptTimer(
  simulation: ForwardingSimulation,
  attempt: ForwardedAttempt,
): void {
  stepForwardedAttempt(simulation, attempt, {
    kind: DispatchEventKind.TimerFired,
  });
}

function failOutcomeQuery(simulation: ForwardingSimulation): void {
  if (simulation.outcomeQueryPending) {
    simulation.outcomeQueryPending = false;
    stepForwardedCall(simulation, { kind: CallEventKind.OutcomeQueryFailed });
  }
}

function advanceTime(milliseconds: number): Action {
  return (simulation) => advanceForwardingTime(simulation, milliseconds);
}

/** Delivers the requests that are still in a socket buffer or a frozen process. */
function deliverDelayedRequests(simulation: ForwardingSimulation): void {
  simulation.attempts.forEach((attempt) => {
    deliverForwardedAttempt(simulation, attempt);
    admit(simulation, attempt);
  });
}

function countRuns(simulation: ForwardingSimulation): number {
  return simulation.attempts.reduce((sum, attempt) => sum + attempt.runs, 0);
}

test("[point 7: request in a frozen process] [point 7: request in a socket buffer] [point 7: contact lost after hand-over] [point 8: tries by the mesh] no order of lost connections, delays and outcome queries makes a refusal false or runs a call twice", (t) => {
  const outcomeCounts = new Map<string, number>();
  fastCheck.assert(
    fastCheck.property(
      fastCheck.boolean(),
      fastCheck.array(actionArbitrary, {
        minLength: actionsMinimum,
        maxLength: actionsMaximum,
      }),
      (idempotent, actions) => {
        const simulation = createForwardingSimulation(idempotent);
        stepForwardedCall(simulation, { kind: CallEventKind.Started });
        actions.forEach((action) => action(simulation));
        advanceForwardingTime(simulation, deadlineMilliseconds);
        deliverDelayedRequests(simulation);
        const outcome = simulation.outcome ?? "none";
        outcomeCounts.set(outcome, (outcomeCounts.get(outcome) ?? 0) + 1);
        const hasOneOutcome = outcome !== "none" && !outcome.includes(",");
        const isRefusalTrue = outcome !== "not-run" ||
          countRuns(simulation) === 0;
        const ranAtMostOnce = idempotent || countRuns(simulation) <= 1;
        return hasOneOutcome && isRefusalTrue && ranAtMostOnce;
      },
    ),
    { seed, numRuns: runs },
  );
  t.log(JSON.stringify(Object.fromEntries(outcomeCounts)));
  t.true(
    (outcomeCounts.get("not-run") ?? 0) > 0,
    "no call was refused as not run",
  );
  t.true(
    (outcomeCounts.get("unknown") ?? 0) > 0,
    "no call was refused as unknown",
  );
  t.true((outcomeCounts.get("answered") ?? 0) > 0, "no call was answered");
});
