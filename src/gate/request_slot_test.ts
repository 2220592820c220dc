import test from "ava";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { cancelSlotRequest } from "./cancel_slot_request.ts";
import { createGateState } from "./create_gate_state.ts";
import type { GateState } from "./gate_state.ts";
import { getNextQueueInstant } from "./get_next_queue_instant.ts";
import { releaseSlot } from "./release_slot.ts";
import { recordUnlimitedAnswer } from "./record_unlimited_answer.ts";
import { requestSlot } from "./request_slot.ts";
import { setStatedLimit } from "./set_stated_limit.ts";
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
  offerIdentifier: string,
  change: Partial<SlotRequest> = {},
): SlotRequest {
  return {
    offerIdentifier,
    route: "catalogo",
    getFingerprint: () => offerIdentifier,
    priority: 2,
    goalDeadline: start + 400,
    deadline: start + 1_200,
    waitDeadline: start + 1_200,
    mayComeBack: true,
    shareKey: "vitrine",
    isNested: false,
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
  releaseSlot(gate, { offerIdentifier: "a", answered: true, now: start + 50 });
  const { granted } = processGateQueue(gate, start + 50);
  t.deepEqual(granted.map(({ request }) => request.offerIdentifier), ["c"]);
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
  const order = ["a", "urgent", "usual"].flatMap((offerIdentifier) => {
    releaseSlot(gate, { offerIdentifier, answered: true, now: start });
    return processGateQueue(gate, start).granted
      .map(({ request }) => request.offerIdentifier);
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
  t.deepEqual(refused.map(({ request }) => request.offerIdentifier), ["b"]);
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
    const offerIdentifier = `call-${millisecond}`;
    const decision = requestSlot(
      gate,
      createRequest(offerIdentifier, { waitDeadline: now }),
      { now },
    );
    releaseSlot(gate, { offerIdentifier, answered: true, now });
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

/** Requests a slot in each millisecond; returns the instants of the grants. */
function listGrants(
  gate: GateState,
  options: { readonly from: number; readonly milliseconds: number },
): readonly number[] {
  return Array.from({ length: options.milliseconds }, (_, millisecond) => {
    const now = options.from + millisecond;
    const offerIdentifier = `call-${now}`;
    const request = createRequest(offerIdentifier, { waitDeadline: now });
    const decision = requestSlot(gate, request, { now });
    releaseSlot(gate, { offerIdentifier, answered: true, now });
    return decision.kind === SlotDecisionKind.Granted ? now : 0;
  }).filter((now) => now > 0);
}

// Guards against more calls than a backend server states that it takes.
test("stated limit: in any 4 s, a backend server gets no more calls than the users allow, and most of what it takes", (t) => {
  [0, 0.7, 11.9, 20].forEach((callsPerSecond) => {
    const gate = createGate(12);
    setStatedLimit(gate, { callsPerSecond, now: start });
    const grants = listGrants(gate, { from: start, milliseconds: 20_000 });
    const busiest = Math.max(
      0,
      ...grants.map((from) =>
        grants.filter((now) => now >= from && now < from + 4_000).length
      ),
    );
    t.true(busiest <= 4 * callsPerSecond * 1.5 + 5);
    t.true(grants.length >= 20 * callsPerSecond * 0.85);
  });
});

// Guards against a limit that a burst of its repetitions, or an answer that was
// overtaken, suspends.
test("a limit that is stated again keeps its tokens, and only the answer to a later call lifts it", (t) => {
  const gate = createGate(12);
  const callsPerSecond = 10;
  setStatedLimit(gate, { callsPerSecond, now: start });
  const grants = listGrants(gate, { from: start, milliseconds: 1_000 });
  setStatedLimit(gate, { callsPerSecond, now: start + 1_000 });
  recordUnlimitedAnswer(gate, { sentAt: start + 999 });
  const later = listGrants(gate, { from: start + 1_000, milliseconds: 1_000 });
  t.true(grants.length <= callsPerSecond && later.length <= callsPerSecond);
  recordUnlimitedAnswer(gate, { sentAt: start + 1_001 });
  const unlimited = listGrants(gate, {
    from: start + 2_000,
    milliseconds: 1_000,
  });
  t.is(unlimited.length, 1_000);
});

test("a call beyond a stated limit is refused with that reason and the time until the next token", (t) => {
  const gate = createGate(12);
  setStatedLimit(gate, { callsPerSecond: 10, now: start });
  t.like(
    requestSlot(gate, createRequest("a", { waitDeadline: start }), {
      now: start,
    }),
    {
      kind: SlotDecisionKind.Refused,
      reason: RefusalReason.RateLimited,
      retryMilliseconds: 100,
    },
  );
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
    offerIdentifier: "running",
    answered: true,
    now: start + 100,
  });
  const { granted } = processGateQueue(gate, start + 100);
  t.deepEqual(granted.map(({ request }) => request.offerIdentifier), [
    "in-time",
  ]);
});

test("overload: a call that a more urgent one overtakes is refused at once, not at the end of its wait", (t) => {
  const gate = createGate(1);
  requestSlot(gate, createRequest("running"), { now: start });
  const waitLimit = { waitDeadline: start + 150 };
  requestSlot(gate, createRequest("older", waitLimit), { now: start });
  const newer = createRequest("newer", {
    priority: 1,
    goalDeadline: start + 410,
    waitDeadline: start + 160,
  });
  t.is(
    requestSlot(gate, newer, { now: start + 10 }).kind,
    SlotDecisionKind.Queued,
  );
  const { refused } = processGateQueue(gate, start + 10);
  t.deepEqual(refused.map(({ request }) => request.offerIdentifier), ["older"]);
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
    offerIdentifier: "running",
    answered: true,
    now: start + 50,
  });
  const { granted } = processGateQueue(gate, start + 50);
  t.deepEqual(granted.map(({ request }) => request.offerIdentifier), [
    "called",
  ]);
});

test("a burst of less urgent calls beside nested calls: a nested call gets the next slot whatever its priority, also if it is late", (t) => {
  const gate = createGate(1);
  requestSlot(gate, createRequest("running"), { now: start });
  ["outside-1", "outside-2"].forEach((name) =>
    requestSlot(gate, createRequest(name, { priority: 1 }), { now: start })
  );
  const nested = createRequest("nested", {
    priority: 3,
    isNested: true,
    goalDeadline: start - 1,
  });
  t.is(
    requestSlot(gate, nested, { now: start + 10 }).kind,
    SlotDecisionKind.Queued,
  );
  releaseSlot(gate, {
    offerIdentifier: "running",
    answered: true,
    now: start + 20,
  });
  const { granted } = processGateQueue(gate, start + 20);
  t.deepEqual(granted.map(({ request }) => request.offerIdentifier), [
    "nested",
  ]);
});

test("overload: the next slot goes to a short call before a long one of the same time, and to a long one before much newer short ones", (t) => {
  const grantNext = (shortAt: number) => {
    const gate = createGate(1);
    gate.serviceMillisecondsByRoute.set("short", 40);
    gate.serviceMillisecondsByRoute.set("long", 400);
    requestSlot(gate, createRequest("running"), { now: start });
    const far = { goalDeadline: start + 2_500, deadline: start + 5_000 };
    const wait = { waitDeadline: start + 2_000 };
    requestSlot(
      gate,
      createRequest("long", { route: "long", ...far, ...wait }),
      { now: start },
    );
    requestSlot(
      gate,
      createRequest("short", {
        route: "short",
        ...wait,
        goalDeadline: shortAt + 400,
        deadline: shortAt + 1_500,
      }),
      { now: shortAt },
    );
    releaseSlot(gate, {
      offerIdentifier: "running",
      answered: true,
      now: shortAt + 1,
    });
    return processGateQueue(gate, shortAt + 1).granted
      .map(({ request }) => request.offerIdentifier);
  };
  t.deepEqual(grantNext(start), ["short"]);
  t.deepEqual(grantNext(start + 1_200), ["long"]);
});

test("a call whose caller can return is refused at once if it is expected to wait for most of its time, one that cannot is queued", (t) => {
  const gate = createGate(1);
  requestSlot(gate, createRequest("running"), { now: start });
  requestSlot(gate, createRequest("queued"), { now: start });
  const kinds = [true, false].map((mayComeBack) =>
    requestSlot(
      gate,
      createRequest(`${mayComeBack}`, {
        mayComeBack,
        goalDeadline: start + 500,
        waitDeadline: start + 400,
      }),
      { now: start + 100 },
    ).kind
  );
  t.deepEqual(kinds, [SlotDecisionKind.Refused, SlotDecisionKind.Queued]);
});

test("one caller that repeats at once and often: it gets its share of the slots while others want theirs, and all of them otherwise", (t) => {
  const gate = createGate(4);
  const createShare = (name: string, shareKey: string) =>
    createRequest(name, { shareKey });
  const decisions = ["a1", "a2", "a3", "a4", "a5", "a6"].map((name) =>
    requestSlot(gate, createShare(name, "greedy"), { now: start }).kind
  );
  t.is(
    decisions.filter((kind) => kind === SlotDecisionKind.Granted).length,
    4,
  );
  requestSlot(gate, createShare("b1", "modest"), { now: start + 5 });
  requestSlot(gate, createShare("b2", "modest"), { now: start + 5 });
  const order = ["a1", "a2", "a3"].flatMap((offerIdentifier) => {
    const now = start + 10;
    releaseSlot(gate, { offerIdentifier, answered: true, now });
    return processGateQueue(gate, now).granted
      .map(({ request }) => request.offerIdentifier);
  });
  t.deepEqual(order.slice(0, 2), ["b1", "a5"]);
});

test("a short burst that can be worked off in time is queued, though its last calls wait for most of their time", (t) => {
  const gate = createGate(2);
  const kinds = Array.from({ length: 8 }, (_, index) =>
    requestSlot(
      gate,
      createRequest(`${index}`, { waitDeadline: start + 300 }),
      { now: start },
    ).kind);
  t.false(kinds.includes(SlotDecisionKind.Refused));
});

test("a burst after a queue that its callers left: it is queued in full like any other", (t) => {
  const gate = createGate(2);
  ["a", "b", "left"].forEach((name) =>
    requestSlot(gate, createRequest(name), { now: start })
  );
  cancelSlotRequest(gate, "left");
  const now = start + 200;
  const kinds = Array.from({ length: 6 }, (_, index) =>
    requestSlot(
      gate,
      createRequest(`${index}`, { waitDeadline: now + 300 }),
      { now },
    ).kind);
  t.false(kinds.includes(SlotDecisionKind.Refused));
});
