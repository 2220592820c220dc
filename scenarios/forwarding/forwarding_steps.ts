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

/** The steps of the scenarios about a call that is handed to other nodes. */
export const forwardingSteps: readonly StepDefinition<ForwardingSimulation>[] =
  [
    {
      expression: "a call that is not idempotent is handed over",
      run: (simulation) =>
        stepForwardedCall(simulation, { kind: CallEventKind.Started }),
    },
    {
      expression: "an idempotent call is handed over",
      run(simulation) {
        simulation.call = createForwardingSimulation(true).call;
        stepForwardedCall(simulation, { kind: CallEventKind.Started });
      },
    },
    {
      expression: "try {int} arrives",
      run: (simulation, { values: [attemptNumber] }) =>
        deliverForwardedAttempt(
          simulation,
          getAttempt(simulation, attemptNumber),
        ),
    },
    {
      expression: "try {int} gets a slot",
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
      expression: "try {int} is answered by its backend server",
      run: (simulation, { values: [attemptNumber] }) =>
        stepForwardedAttempt(
          simulation,
          getAttempt(simulation, attemptNumber),
          {
            kind: DispatchEventKind.AnswerWhole,
            overloaded: false,
          },
        ),
    },
    {
      expression: "the answer to try {int} is cut",
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
      expression: "the reply to try {int} comes back",
      run: (simulation, { values: [attemptNumber] }) =>
        receiveAttemptReply(simulation, getAttempt(simulation, attemptNumber)),
    },
    {
      expression: "the connection of try {int} breaks",
      run: (simulation, { values: [attemptNumber] }) =>
        breakAttemptConnection(
          simulation,
          getAttempt(simulation, attemptNumber),
        ),
    },
    {
      expression: "the node of try {int} sees that the connection is closed",
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
      expression: "the caller leaves",
      run: (simulation) =>
        stepForwardedCall(simulation, { kind: CallEventKind.CallerLeft }),
    },
    { expression: "the question is answered", run: answerOutcomeQuery },
    {
      expression: "the question is not answered",
      run(simulation) {
        simulation.outcomeQueryPending = false;
        stepForwardedCall(simulation, { kind: CallEventKind.SettlementFailed });
      },
    },
    {
      expression: "{int} ms pass",
      run: (simulation, { values: [milliseconds] }) =>
        advanceForwardingTime(simulation, Number(milliseconds)),
    },
    {
      expression: "the backend servers ran it {int} time(s)",
      run: (simulation, { values: [runs], assert }) =>
        void assert.is(countRuns(simulation), Number(runs)),
    },
    {
      expression: "the caller was told {string}",
      run: (simulation, { values: [outcome], assert }) =>
        void assert.is(simulation.outcome, String(outcome)),
    },
    {
      expression: "the caller was told nothing",
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
