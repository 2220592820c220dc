import test from "ava";
import type { BackendServer } from "../configuration/backend_server.ts";
import { createLoopbackEnvironment } from "../testing/calls/create_loopback_environment.ts";
import { ChoicePolicy } from "./choice_policy.ts";
import { chooseBackendServer } from "./choose_backend_server.ts";
import { createBackendServerView } from "./create_backend_server_view.ts";
import { isAvoided } from "./is_avoided.ts";
import { stepBackendServerView } from "./step_backend_server_view.ts";
import { ViewEventKind } from "./view_event_kind.ts";

const now = 1_000_000;
const { random } = createLoopbackEnvironment(() => 0);

/** Counts whom 1,000 calls go to, given the zone and the free slots of each. */
function countChoices(
  servers: readonly [string, number][],
  policy: ChoicePolicy,
) {
  const candidates = servers.map(([zone, freeSlots], index) => ({
    server: { name: String(index), zone } as BackendServer,
    view: { ...createBackendServerView(freeSlots), reportedAt: now },
  }));
  const options = { now, zone: "sul-a", random, policy };
  return Array.from(
    { length: 1000 },
    () => Number(chooseBackendServer(candidates, options)?.name),
  )
    .reduce<number[]>(
      (counts, index) => counts.with(index, counts[index]! + 1),
      servers.map(() => 0),
    );
}

test("chooseBackendServer() takes the own zone while it has room, and the freer of two", (t) => {
  const { TwoChoicesByFreeSlots, Random } = ChoicePolicy;
  const choose = (servers: readonly [string, number][]) =>
    countChoices(servers, TwoChoicesByFreeSlots);
  t.deepEqual(choose([["sul-a", 1], ["sul-b", 12], ["sul-c", 12]]), [
    1000,
    0,
    0,
  ]);
  t.deepEqual(choose([["sul-a", 0], ["sul-b", 3], ["sul-c", 0]]), [0, 1000, 0]);
  t.deepEqual(choose([["sul-a", 2], ["sul-a", 9]]), [0, 1000]);
  const [least, , most] = choose([["sul-a", 1], ["sul-a", 5], ["sul-a", 9]]);
  t.true(least === 0 && most! > 500);
  t.true(
    countChoices([["sul-a", 0], ["sul-b", 12]], Random).every((count) =>
      count > 400
    ),
  );
});

test("a lost contact is avoided with backoff, and then probed by one call", (t) => {
  const context = { now, random: 0.5 };
  const failed = {
    kind: ViewEventKind.ContactFailed,
    processGone: false,
  } as const;
  const once = stepBackendServerView(
    createBackendServerView(12),
    failed,
    context,
  );
  const twice = stepBackendServerView(once, failed, context);
  t.true(isAvoided(once, now) && twice.avoidedUntil > once.avoidedUntil);
  const later = twice.avoidedUntil;
  t.false(isAvoided(twice, later));
  const probed = stepBackendServerView(
    twice,
    { kind: ViewEventKind.CallSent },
    {
      ...context,
      now: later,
    },
  );
  t.true(isAvoided(probed, later));
  const back = stepBackendServerView(probed, {
    kind: ViewEventKind.ContactMade,
  }, context);
  t.false(isAvoided(back, later));
});
