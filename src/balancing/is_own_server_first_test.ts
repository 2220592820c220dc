import test from "ava";
import { createGateState } from "../gate/create_gate_state.ts";
import type { GateState } from "../gate/gate_state.ts";
import { ServerCondition } from "../gate/server_condition.ts";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { createSampleEntry } from "../testing/mesh/create_sample_entry.ts";
import { createGateView } from "./create_gate_view.ts";
import type { GateView } from "./gate_view.ts";
import { isOwnServerFirst } from "./is_own_server_first.ts";

const now = 1_000_000;
const slots = 12;

function isFirst(
  { gate = {}, view = {}, running = 0 }: {
    readonly gate?: Partial<GateState>;
    readonly view?: Partial<GateView>;
    readonly running?: number;
  },
): boolean {
  const state = {
    ...createGateState(now),
    slots,
    condition: ServerCondition.Up,
    ...gate,
  };
  Array.from(
    { length: running },
    (_, index) =>
      state.running.set(String(index), {
        route: "catalogo",
        getFingerprint: () => "",
        isNested: false,
        shareKey: "vitrine",
        startedAt: now,
      }),
  );
  return isOwnServerFirst({
    entry: createSampleEntry({ slots }),
    view: { ...createGateView(), ...view },
    isRemoved: false,
  }, { gate: state, meanAnswerMilliseconds: 60, goalMilliseconds: 200, now });
}

test("the own backend server comes first while it can start the call", (t) => {
  t.true(isFirst({}));
  t.true(isFirst({ running: 5 }));
});

test("it is closed, down, cold, avoided or fails calls: others are looked at", (t) => {
  t.false(isFirst({ gate: { closedReason: RefusalReason.ZoneTakenOut } }));
  t.false(isFirst({ gate: { condition: ServerCondition.Down } }));
  t.false(isFirst({ gate: { coldUntil: now + 1_000 } }));
  t.false(isFirst({ view: { avoidUntil: now + 300 } }));
  t.false(isFirst({ view: { failureRate: 0.2, lastOutcomeAt: now } }));
});

test("calls of its VM leave room for those of others, more of it while the service has room", (t) => {
  t.false(isFirst({ running: 6 }));
  const busyService = (busyShare: number) => ({
    serviceLoad: { ...createGateView().serviceLoad, busyShare },
  });
  t.true(isFirst({ running: 8, view: busyService(0.6) }));
  t.false(isFirst({ running: 11, view: busyService(1) }));
});

test("it is slow: it comes first only while the goal is not at risk", (t) => {
  t.true(isFirst({ view: { slowness: 1.6, slownessAt: now } }));
  t.false(isFirst({ view: { slowness: 3, slownessAt: now } }));
});

test("a backend server with one slot takes a call while it has none", (t) => {
  t.true(isFirst({ gate: { slots: 1 } }));
  t.false(isFirst({ gate: { slots: 1 }, running: 1 }));
});
