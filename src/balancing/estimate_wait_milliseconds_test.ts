import test from "ava";
import { createGateView } from "./create_gate_view.ts";
import { createServiceLoad } from "./create_service_load.ts";
import { estimateBusySlots } from "./estimate_busy_slots.ts";
import { estimateWaitMilliseconds } from "./estimate_wait_milliseconds.ts";
import { recordLoad } from "./record_load.ts";

const now = 1_000_000;
const slots = 12;

function createView(running: number, { receivedAt = now } = {}) {
  const serviceLoad = createServiceLoad();
  const view = createGateView(serviceLoad);
  recordLoad(view, {
    load: { running, queued: 0, slots, cold: false },
    now: receivedAt,
  });
  serviceLoad.busyShare = 0.5;
  return view;
}

const estimateWait = (view: ReturnType<typeof createView>) =>
  estimateWaitMilliseconds(view, { slots, answerMilliseconds: 100, now });

test("with its age, a report of an idle or a full backend server tends to the mean of the service", (t) => {
  const mean = 6;
  [0, 12].forEach((running) => {
    const distances = [0, 200, 400, 4_000].map((age) =>
      Math.abs(
        estimateBusySlots(createView(running, { receivedAt: now - age }), {
          slots,
          now,
        }) - mean,
      )
    );
    t.deepEqual(distances, distances.toSorted((left, right) => right - left));
    t.is(distances[0], mean);
    t.true(distances.at(-1)! < 0.1);
  });
});

test("calls sent since the report count, so a free slot is not used twice", (t) => {
  const view = createView(11);
  const before = estimateWait(view);
  view.inFlight += 3;
  t.is(estimateBusySlots(view, { slots, now }), 14);
  t.true(estimateWait(view) > before + 15);
});

test("a free slot that is known comes before one that is expected", (t) => {
  t.true(
    estimateWait(createView(6)) <
      estimateWait(createView(6, { receivedAt: now - 400 })),
  );
});
