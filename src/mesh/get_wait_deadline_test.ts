import test from "ava";
import { createGateView } from "../balancing/create_gate_view.ts";
import type { GateCandidate } from "../balancing/gate_candidate.ts";
import { createSampleEntry } from "../testing/mesh/create_sample_entry.ts";
import { createSampleRoute } from "../testing/mesh/create_sample_route.ts";
import type { CallPlan } from "./call_plan.ts";
import type { CallProgress } from "./call_progress.ts";
import { createCallProgress } from "./create_call_progress.ts";
import { getWaitDeadline } from "./get_wait_deadline.ts";

const now = 1_000_000;
const answerMilliseconds = 40;

const candidate: GateCandidate = {
  entry: createSampleEntry({ service: "fornadas" }),
  view: {
    ...createGateView(),
    answerMilliseconds: new Map([["slots", answerMilliseconds]]),
  },
  isRemoved: false,
};

const plan: CallPlan = {
  callIdentifier: "a",
  request: { method: "GET", url: "/", headers: [], body: Buffer.alloc(0) },
  route: createSampleRoute(),
  service: "fornadas",
  organisation: undefined,
  priority: 0,
  rulesVersion: 1,
  receivedAt: now,
  deadline: now + 344,
  goalDeadline: now + 64,
  mayComeBack: true,
  isNested: false,
  signal: new AbortController().signal,
};

function getWait(
  change: Partial<CallPlan>,
  progressChange: Partial<CallProgress> = {},
): number {
  const progress = {
    ...createCallProgress({ ...plan, ...change }),
    isWaitingRound: true,
    ...progressChange,
  };
  return getWaitDeadline(progress, { candidate, now }) - now;
}

test("priority inversion through nested calls: a call that cannot be retried may wait until its deadline", (t) => {
  t.is(getWait({ mayComeBack: false }), 344 - answerMilliseconds);
});

test("overload: a call that can be retried waits only while its goal can be met, or briefly", (t) => {
  t.is(getWait({ goalDeadline: now + 120 }), 120 - answerMilliseconds);
  t.is(getWait({ goalDeadline: now - 50 }), 30);
});

test("in the first round a call may wait briefly, and only at the first candidate", (t) => {
  const first = getWait({}, { isWaitingRound: false });
  t.true(first > 0 && first < 40);
  t.is(
    getWait({}, { isWaitingRound: false, excluded: new Set(["i-2"]) }),
    0,
  );
});
