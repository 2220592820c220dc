import test from "ava";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { createGateState } from "./create_gate_state.ts";
import type { GateState } from "./gate_state.ts";
import { getNextQueueInstant } from "./get_next_queue_instant.ts";
import { releaseSlot } from "./release_slot.ts";
import { requestSlot } from "./request_slot.ts";
import { setColdRate } from "./set_cold_rate.ts";
import { ServerCondition } from "./server_condition.ts";
import { processGateQueue } from "./process_gate_queue.ts";
import { SlotDecisionKind } from "./slot_decision_kind.ts";
import type { SlotRequest } from "./slot_request.ts";

const start = 1_000_000;
/** The rate that the backend server can process in cold start. */
const coldCallsPerSecond = 14;
/** The most calls that the users allow it in any one second. */
const coldCallsInOneSecondMaximum = coldCallsPerSecond * 1.5 + 5;

function createGate(slots: number): GateState {
  const gate = createGateState(start);
  gate.slots = slots;
  gate.condition = ServerCondition.Up;
  gate.serviceMilliseconds = 100;
  return gate;
}

function createRequest(
  callIdentifier: string,
  change: Partial<SlotRequest> = {},
): SlotRequest {
  return {
    callIdentifier,
    route: "catalogo",
    priority: 2,
    goalDeadline: start + 400,
    deadline: start + 1_200,
    waitDeadline: start + 1_200,
    mayComeBack: true,
    ...change,
  };
}

test("more calls than slots: free slots are granted, further calls are queued", (t) => {
  const gate = createGate(2);
  const kinds = ["a", "b", "c"].map((name) =>
    requestSlot(gate, createRequest(name), { now: start }).kind
  );
  t.deepEqual(kinds, [
    SlotDecisionKind.Granted,
    SlotDecisionKind.Granted,
    SlotDecisionKind.Queued,
  ]);
  releaseSlot(gate, { callIdentifier: "a", answered: true, now: start + 50 });
  const { granted } = processGateQueue(gate, start + 50);
  t.deepEqual(granted.map(({ request }) => request.callIdentifier), ["c"]);
});

test("a call that may not wait is refused at once with a retry delay", (t) => {
  const gate = createGate(1);
  requestSlot(gate, createRequest("a"), { now: start });
  const decision = requestSlot(
    gate,
    createRequest("b", { waitDeadline: start }),
    { now: start },
  );
  t.like(decision, {
    kind: SlotDecisionKind.Refused,
    reason: RefusalReason.Full,
  });
  t.true(
    decision.kind === SlotDecisionKind.Refused &&
      decision.retryMilliseconds > 0,
  );
});

test("overload: a call that would end after its deadline is refused instead of queued", (t) => {
  const gate = createGate(1);
  gate.serviceMilliseconds = 500;
  requestSlot(gate, createRequest("a"), { now: start });
  requestSlot(gate, createRequest("b"), { now: start });
  const decision = requestSlot(gate, createRequest("c"), { now: start });
  t.is(decision.kind, SlotDecisionKind.Refused);
});

test("a free slot goes to the call of higher priority; at equal priority late calls come after those in time", (t) => {
  const gate = createGate(1);
  requestSlot(gate, createRequest("a"), { now: start });
  requestSlot(
    gate,
    createRequest("late", { goalDeadline: start - 1, priority: 2 }),
    { now: start },
  );
  requestSlot(gate, createRequest("usual"), { now: start });
  requestSlot(gate, createRequest("urgent", { priority: 1 }), { now: start });
  const order = ["a", "urgent", "usual"].flatMap((callIdentifier) => {
    releaseSlot(gate, { callIdentifier, answered: true, now: start });
    return processGateQueue(gate, start).granted
      .map(({ request }) => request.callIdentifier);
  });
  t.deepEqual(order, ["urgent", "usual", "late"]);
});

test("a queued call that can no longer be served is refused before its deadline", (t) => {
  const gate = createGate(1);
  requestSlot(gate, createRequest("a"), { now: start });
  requestSlot(gate, createRequest("b"), { now: start });
  const instant = getNextQueueInstant(gate, start);
  t.true(instant < start + 1_200);
  const { refused } = processGateQueue(gate, instant);
  t.deepEqual(refused.map(({ request }) => request.callIdentifier), ["b"]);
});

test("cold start: in any one second, a backend server gets no more calls than the allowance permits", (t) => {
  const gate = createGate(12);
  gate.coldUntil = start + 10_000;
  setColdRate(gate, {
    callsPerSecond: coldCallsPerSecond,
    allowance: { factor: 1.5, slack: 5 },
  });
  gate.coldBucket.refilledAt = start;
  const grants = Array.from({ length: 5_000 }, (_, millisecond) => {
    const now = start + millisecond;
    const callIdentifier = `call-${millisecond}`;
    const decision = requestSlot(
      gate,
      createRequest(callIdentifier, { waitDeadline: now }),
      { now },
    );
    releaseSlot(gate, { callIdentifier, answered: true, now });
    return decision.kind === SlotDecisionKind.Granted ? now : 0;
  }).filter((now) => now > 0);
  const busiest = Math.max(
    ...grants.map((from) =>
      grants.filter((now) => now >= from && now < from + 1_000).length
    ),
  );
  t.true(busiest <= coldCallsInOneSecondMaximum);
  // Most of the allowance must be used: after a power cut all backend servers of a service are cold.
  t.true(grants.length >= 5 * coldCallsInOneSecondMaximum * 0.85);
});

test("a backend server that is down or whose gate is closed gets no calls, and its queue is refused", (t) => {
  const gate = createGate(1);
  requestSlot(gate, createRequest("a"), { now: start });
  requestSlot(gate, createRequest("b"), { now: start });
  gate.condition = ServerCondition.Down;
  const result = processGateQueue(gate, start);
  t.is(result.refused.length, 1);
  t.is(result.reason, RefusalReason.BackendServerDown);
  gate.condition = ServerCondition.Up;
  gate.closedReason = RefusalReason.ZoneTakenOut;
  t.like(requestSlot(gate, createRequest("c"), { now: start }), {
    kind: SlotDecisionKind.Refused,
    reason: RefusalReason.ZoneTakenOut,
  });
});

test("overload by callers that retry: queued calls that are late do not cause the refusal of a call that can be in time", (t) => {
  const gate = createGate(1);
  requestSlot(gate, createRequest("running"), { now: start });
  ["late-1", "late-2", "late-3"].forEach((name) =>
    requestSlot(
      gate,
      createRequest(name, { goalDeadline: start - 100 }),
      { now: start },
    )
  );
  const inTime = createRequest("in-time", { waitDeadline: start + 200 });
  t.is(
    requestSlot(gate, inTime, { now: start }).kind,
    SlotDecisionKind.Queued,
  );
  releaseSlot(gate, {
    callIdentifier: "running",
    answered: true,
    now: start + 100,
  });
  const { granted } = processGateQueue(gate, start + 100);
  t.deepEqual(granted.map(({ request }) => request.callIdentifier), [
    "in-time",
  ]);
});

test("overload: a call that newer calls overtake is refused at once, not at the end of its wait", (t) => {
  const gate = createGate(1);
  requestSlot(gate, createRequest("running"), { now: start });
  const waitLimit = { waitDeadline: start + 150 };
  requestSlot(gate, createRequest("older", waitLimit), { now: start });
  const newer = createRequest("newer", { waitDeadline: start + 160 });
  t.is(
    requestSlot(gate, newer, { now: start + 10 }).kind,
    SlotDecisionKind.Queued,
  );
  const { refused } = processGateQueue(gate, start + 10);
  t.deepEqual(refused.map(({ request }) => request.callIdentifier), ["older"]);
});

test("short calls of backend servers among longer ones: lateness is computed from the service time of the call's own route", (t) => {
  const gate = createGate(1);
  gate.serviceMillisecondsByRoute.set("vagas", 20);
  requestSlot(gate, createRequest("running"), { now: start });
  requestSlot(
    gate,
    createRequest("called", {
      route: "vagas",
      goalDeadline: start + 90,
      mayComeBack: false,
    }),
    { now: start },
  );
  requestSlot(gate, createRequest("newer"), { now: start + 10 });
  releaseSlot(gate, {
    callIdentifier: "running",
    answered: true,
    now: start + 50,
  });
  const { granted } = processGateQueue(gate, start + 50);
  t.deepEqual(granted.map(({ request }) => request.callIdentifier), ["called"]);
});
