import test from "ava";
import { createGateView } from "./create_gate_view.ts";
import { createServiceLoad } from "./create_service_load.ts";
import type { GateView } from "./gate_view.ts";
import { getSlowness } from "./get_slowness.ts";
import { recordAnswer } from "./record_answer.ts";

const startedAt = 1_000_000;
const usual = { short: 20, long: 200 };
type Route = keyof typeof usual;

function createCase() {
  const serviceLoad = createServiceLoad();
  const others = createGateView(serviceLoad);
  const view = createGateView(serviceLoad);
  const answer = (
    target: GateView,
    { route, factor, now }: { route: Route; factor: number; now: number },
  ) =>
    recordAnswer(target, {
      route,
      elapsedMilliseconds: usual[route] * factor,
      failed: false,
      now,
    });
  Array.from({ length: 100 }, (_, index) => {
    const now = startedAt - 1_000 + index * 10;
    answer(others, { route: "short", factor: 1, now });
    answer(others, { route: "long", factor: 1, now });
  });
  const answerOften = (
    { from, until, factor }: { from: number; until: number; factor: number },
  ) =>
    Array.from({ length: (until - from) / 50 }, (_, index) =>
      answer(view, {
        route: index % 2 === 0 ? "short" : "long",
        factor,
        now: startedAt + from + index * 50,
      }));
  return { view, answer, answerOften };
}

test("a spell of slowness of 600 ms shows within it, and its end soon after", (t) => {
  const { view, answerOften } = createCase();
  answerOften({ from: 0, until: 500, factor: 1 });
  t.true(Math.abs(getSlowness(view, startedAt + 500) - 1) < 0.1);
  answerOften({ from: 500, until: 1_100, factor: 3 });
  t.true(getSlowness(view, startedAt + 1_100) > 2);
  answerOften({ from: 1_100, until: 1_700, factor: 1 });
  t.true(getSlowness(view, startedAt + 1_700) < 1.3);
});

test("a route whose calls cost more does not make a backend server slow; a slow answer of any route shows", (t) => {
  const { view, answer } = createCase();
  answer(view, { route: "long", factor: 1, now: startedAt });
  t.true(Math.abs(getSlowness(view, startedAt) - 1) < 0.1);
  answer(view, { route: "short", factor: 4, now: startedAt });
  t.true(getSlowness(view, startedAt) > 1.5);
});

test("the node beside a backend server sees all answers, so one report of its average shows a change", (t) => {
  const { view, answer } = createCase();
  const createLoad = (milliseconds: number) => ({
    running: 1,
    queued: 0,
    slots: 12,
    cold: false,
    routeService: { route: "short", milliseconds },
  });
  Array.from({ length: 50 }, () => {
    view.load = createLoad(20);
    answer(view, { route: "short", factor: 1, now: startedAt });
  });
  view.load = createLoad(60);
  answer(view, { route: "short", factor: 1, now: startedAt });
  t.true(getSlowness(view, startedAt) > 2);
});

test("nothing is heard of a slow backend server: the estimate returns to the mean", (t) => {
  const { view, answerOften } = createCase();
  answerOften({ from: 0, until: 600, factor: 3 });
  t.true(getSlowness(view, startedAt + 10_600) < 1.1);
});
