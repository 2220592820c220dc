import test from "ava";
import fastCheck from "fast-check";
import { CallEventKind } from "../../src/calls/call_event_kind.ts";
import type { DispatchEvent } from "../../src/calls/dispatch_event.ts";
import { DispatchEventKind } from "../../src/calls/dispatch_event_kind.ts";
import { RefusalReason } from "../../src/calls/refusal_reason.ts";
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

type Act = (world: HandoverWorld) => void;

const seed = 7;
const runs = 20_000;
const actsMinimum = 10;
const actsMaximum = 40;
const deadlineMilliseconds = 4000;
const pauseMaximum = 600;
const runningEvents: readonly DispatchEvent[] = [
  { kind: DispatchEventKind.AnswerWhole, overloaded: false },
  { kind: DispatchEventKind.Broken },
];

const at = fastCheck.constantFrom(0, 0, 0, 1, 1, 2);
const act = fastCheck.oneof(
  { weight: 4, arbitrary: at.map((index) => onTry(index, arriveHandoverTry)) },
  { weight: 4, arbitrary: at.map((index) => onTry(index, admit)) },
  { weight: 3, arbitrary: at.map((index) => onTry(index, refuseSlot)) },
  {
    weight: 2,
    arbitrary: fastCheck.tuple(at, fastCheck.constantFrom(...runningEvents))
      .map(([index, event]) =>
        onTry(index, (world, one) => feedRunning(world, one, event))
      ),
  },
  {
    weight: 4,
    arbitrary: at.map((index) => onTry(index, receiveHandoverReply)),
  },
  {
    weight: 2,
    arbitrary: at.map((index) => onTry(index, loseHandoverContact)),
  },
  { weight: 1, arbitrary: at.map((index) => onTry(index, seeClosed)) },
  { weight: 1, arbitrary: at.map((index) => onTry(index, wakeTry)) },
  { weight: 3, arbitrary: fastCheck.constant(settleHandover) },
  { weight: 1, arbitrary: fastCheck.constant(failQuestion) },
  {
    weight: 3,
    arbitrary: fastCheck.nat(pauseMaximum).map((span) => pass(span)),
  },
);

function onTry(
  index: number,
  run: (world: HandoverWorld, one: HandoverTry) => void,
): Act {
  return (world) => {
    const one = world.tries[index];
    if (one !== undefined) {
      run(world, one);
    }
  };
}

function admit(world: HandoverWorld, one: HandoverTry): void {
  if (one.runs === 0) {
    stepHandoverTry(world, one, { kind: DispatchEventKind.Admitted });
  }
}

function refuseSlot(world: HandoverWorld, one: HandoverTry): void {
  if (one.runs === 0) {
    stepHandoverTry(world, one, {
      kind: DispatchEventKind.AdmissionRefused,
      reason: RefusalReason.Full,
      retryAt: world.now,
    });
  }
}

function feedRunning(
  world: HandoverWorld,
  one: HandoverTry,
  event: DispatchEvent,
): void {
  if (one.runs > 0) {
    stepHandoverTry(world, one, event);
  }
}

function seeClosed(world: HandoverWorld, one: HandoverTry): void {
  if (!one.connected) {
    stepHandoverTry(world, one, { kind: DispatchEventKind.ContactLost });
  }
}

function wakeTry(world: HandoverWorld, one: HandoverTry): void {
  stepHandoverTry(world, one, { kind: DispatchEventKind.Woke });
}

function failQuestion(world: HandoverWorld): void {
  if (world.questionOpen) {
    world.questionOpen = false;
    stepHandoverCall(world, { kind: CallEventKind.SettlementFailed });
  }
}

function pass(milliseconds: number): Act {
  return (world) => passHandoverTime(world, milliseconds);
}

/** Whatever waits in a socket buffer or a frozen process comes through in the end. */
function thaw(world: HandoverWorld): void {
  world.tries.forEach((one) => {
    arriveHandoverTry(world, one);
    admit(world, one);
  });
}

function countRuns(world: HandoverWorld): number {
  return world.tries.reduce((sum, one) => sum + one.runs, 0);
}

test("[point 7: request in a frozen process] [point 7: request in a socket buffer] [point 7: contact lost after hand-over] [point 8: tries by the mesh] no order of losses, delays and questions makes a refusal false or runs a call twice", (t) => {
  const told = new Map<string, number>();
  fastCheck.assert(
    fastCheck.property(
      fastCheck.boolean(),
      fastCheck.array(act, { minLength: actsMinimum, maxLength: actsMaximum }),
      (idempotent, acts) => {
        const world = createHandoverWorld(idempotent);
        stepHandoverCall(world, { kind: CallEventKind.Started });
        acts.forEach((one) => one(world));
        passHandoverTime(world, deadlineMilliseconds);
        thaw(world);
        const outcome = world.told ?? "nothing";
        told.set(outcome, (told.get(outcome) ?? 0) + 1);
        const isToldOnce = outcome !== "nothing" && !outcome.includes(",");
        const isTrue = outcome !== "not-run" || countRuns(world) === 0;
        const isOnce = idempotent || countRuns(world) <= 1;
        return isToldOnce && isTrue && isOnce;
      },
    ),
    { seed, numRuns: runs },
  );
  t.log(JSON.stringify(Object.fromEntries(told)));
  t.true((told.get("not-run") ?? 0) > 0, "no call was refused as not run");
  t.true((told.get("unknown") ?? 0) > 0, "no call was refused as unknown");
  t.true((told.get("answered") ?? 0) > 0, "no call was answered");
});
