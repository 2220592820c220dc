import { CallEventKind } from "../../src/calls/call_event_kind.ts";
import { DispatchEventKind } from "../../src/calls/dispatch_event_kind.ts";
import type { StepDefinition } from "../runner/step_definition.ts";
import { arriveHandoverTry } from "./deliver_forwarded_attempt.ts";
import { createHandoverWorld } from "./create_forwarding_simulation.ts";
import type { HandoverTry } from "./forwarded_attempt.ts";
import type { HandoverWorld } from "./forwarding_simulation.ts";
import { loseHandoverContact } from "./break_attempt_connection.ts";
import { passHandoverTime } from "./advance_forwarding_time.ts";
import { receiveHandoverReply } from "./receive_attempt_reply.ts";
import { settleHandover } from "./answer_outcome_query.ts";
import { stepHandoverCall } from "./step_forwarded_call.ts";
import { stepHandoverTry } from "./step_forwarded_attempt.ts";

/** The steps of the scenarios about a call that is handed to other nodes. */
export const handoverSteps: readonly StepDefinition<HandoverWorld>[] = [
  {
    expression: "a call that is not idempotent is handed over",
    run: (world) => stepHandoverCall(world, { kind: CallEventKind.Started }),
  },
  {
    expression: "an idempotent call is handed over",
    run(world) {
      world.call = createHandoverWorld(true).call;
      stepHandoverCall(world, { kind: CallEventKind.Started });
    },
  },
  {
    expression: "try {int} arrives",
    run: (world, { values: [at] }) =>
      arriveHandoverTry(world, getTry(world, at)),
  },
  {
    expression: "try {int} gets a slot",
    run: (world, { values: [at] }) =>
      stepHandoverTry(world, getTry(world, at), {
        kind: DispatchEventKind.Admitted,
      }),
  },
  {
    expression: "try {int} is answered by its backend server",
    run: (world, { values: [at] }) =>
      stepHandoverTry(world, getTry(world, at), {
        kind: DispatchEventKind.AnswerWhole,
        overloaded: false,
      }),
  },
  {
    expression: "the answer to try {int} is cut",
    run: (world, { values: [at] }) =>
      stepHandoverTry(world, getTry(world, at), {
        kind: DispatchEventKind.Broken,
      }),
  },
  {
    expression: "the reply to try {int} comes back",
    run: (world, { values: [at] }) =>
      receiveHandoverReply(world, getTry(world, at)),
  },
  {
    expression: "the connection of try {int} breaks",
    run: (world, { values: [at] }) =>
      loseHandoverContact(world, getTry(world, at)),
  },
  {
    expression: "the node of try {int} sees that the connection is closed",
    run: (world, { values: [at] }) =>
      stepHandoverTry(world, getTry(world, at), {
        kind: DispatchEventKind.ContactLost,
      }),
  },
  {
    expression: "the caller leaves",
    run: (world) => stepHandoverCall(world, { kind: CallEventKind.CallerLeft }),
  },
  { expression: "the question is answered", run: settleHandover },
  {
    expression: "the question is not answered",
    run(world) {
      world.questionOpen = false;
      stepHandoverCall(world, { kind: CallEventKind.SettlementFailed });
    },
  },
  {
    expression: "{int} ms pass",
    run: (world, { values: [span] }) => passHandoverTime(world, Number(span)),
  },
  {
    expression: "the backend servers ran it {int} time(s)",
    run: (world, { values: [runs], assert }) =>
      void assert.is(countRuns(world), Number(runs)),
  },
  {
    expression: "the caller was told {string}",
    run: (world, { values: [told], assert }) =>
      void assert.is(world.told, String(told)),
  },
  {
    expression: "the caller was told nothing",
    run: (world, { assert }) => void assert.is(world.told, undefined),
  },
];

function getTry(
  world: HandoverWorld,
  at: string | number | undefined,
): HandoverTry {
  return world.tries[Number(at) - 1]!;
}

function countRuns(world: HandoverWorld): number {
  return world.tries.reduce((sum, one) => sum + one.runs, 0);
}
