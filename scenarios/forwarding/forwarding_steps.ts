import { CallEventKind } from "../../src/calls/call_event_kind.ts";
import { DispatchEventKind } from "../../src/calls/dispatch_event_kind.ts";
import type { StepDefinition } from "../runner/step_definition.ts";
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

/** Step definitions for the scenarios about calls that are forwarded to other nodes. */
export const forwardingSteps: readonly StepDefinition<ForwardingSimulation>[] =
  [
    {
      expression: "a call that is not idempotent is forwarded",
      run: (simulation) =>
        stepForwardedCall(simulation, { kind: CallEventKind.Started }),
    },
    {
      expression: "an idempotent call is forwarded",
      run(simulation) {
        simulation.call = createForwardingSimulation(true).call;
        stepForwardedCall(simulation, { kind: CallEventKind.Started });
      },
    },
    {
      expression: "attempt {int} arrives",
      run: (simulation, { values: [attemptNumber] }) =>
        deliverForwardedAttempt(
          simulation,
          getAttempt(simulation, attemptNumber),
        ),
    },
    {
      expression: "attempt {int} is admitted",
      run: (simulation, { values: [attemptNumber] }) =>
        stepForwardedAttempt(
          simulation,
          getAttempt(simulation, attemptNumber),
          {
            kind: DispatchEventKind.Admitted,
          },
        ),
    },
    {
      expression: "attempt {int} is answered by its backend server",
      run: (simulation, { values: [attemptNumber] }) =>
        stepForwardedAttempt(
          simulation,
          getAttempt(simulation, attemptNumber),
          {
            kind: DispatchEventKind.AnswerCompleted,
            overloaded: false,
          },
        ),
    },
    {
      expression: "the answer to attempt {int} is truncated",
      run: (simulation, { values: [attemptNumber] }) =>
        stepForwardedAttempt(
          simulation,
          getAttempt(simulation, attemptNumber),
          {
            kind: DispatchEventKind.Broken,
          },
        ),
    },
    {
      expression: "the reply to attempt {int} is received",
      run: (simulation, { values: [attemptNumber] }) =>
        receiveAttemptReply(simulation, getAttempt(simulation, attemptNumber)),
    },
    {
      expression: "the connection of attempt {int} breaks",
      run: (simulation, { values: [attemptNumber] }) =>
        breakAttemptConnection(
          simulation,
          getAttempt(simulation, attemptNumber),
        ),
    },
    {
      expression:
        "the node of attempt {int} detects that the connection is closed",
      run: (simulation, { values: [attemptNumber] }) =>
        stepForwardedAttempt(
          simulation,
          getAttempt(simulation, attemptNumber),
          {
            kind: DispatchEventKind.ContactLost,
          },
        ),
    },
    {
      expression: "the caller disconnects",
      run: (simulation) =>
        stepForwardedCall(simulation, { kind: CallEventKind.CallerLeft }),
    },
    { expression: "the outcome query is answered", run: answerOutcomeQuery },
    {
      expression: "the outcome query is not answered",
      run(simulation) {
        simulation.outcomeQueryPending = false;
        stepForwardedCall(simulation, {
          kind: CallEventKind.OutcomeQueryFailed,
        });
      },
    },
    {
      expression: "{int} ms pass",
      run: (simulation, { values: [milliseconds] }) =>
        advanceForwardingTime(simulation, Number(milliseconds)),
    },
    {
      expression: "the backend servers ran the call {int} time(s)",
      run: (simulation, { values: [runs], assert }) =>
        void assert.is(countRuns(simulation), Number(runs)),
    },
    {
      expression: "the outcome for the caller was {string}",
      run: (simulation, { values: [outcome], assert }) =>
        void assert.is(simulation.outcome, String(outcome)),
    },
    {
      expression: "there was no outcome for the caller",
      run: (simulation, { assert }) =>
        void assert.is(simulation.outcome, undefined),
    },
  ];

function getAttempt(
  simulation: ForwardingSimulation,
  attemptNumber: string | number | undefined,
): ForwardedAttempt {
  return simulation.attempts[Number(attemptNumber) - 1]!;
}

function countRuns(simulation: ForwardingSimulation): number {
  return simulation.attempts.reduce((sum, attempt) => sum + attempt.runs, 0);
}
