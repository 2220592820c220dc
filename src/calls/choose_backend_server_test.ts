import test from "ava";
import type { BackendServer } from "../configuration/backend_server.ts";
import { createLoopbackEnvironment } from "../testing/calls/create_loopback_environment.ts";
import { BackendServerState } from "../health/backend_server_state.ts";
import { NodeState } from "../peers/node_state.ts";
import type { PeerRecord } from "../peers/peer_record.ts";
import type { BackendServerView } from "./backend_server_view.ts";
import { ChoicePolicy } from "./choice_policy.ts";
import { chooseBackendServer } from "./choose_backend_server.ts";
import { createBackendServerView } from "./create_backend_server_view.ts";
import { getFreshRecord } from "./get_fresh_record.ts";
import { isAvoided } from "./is_avoided.ts";
import { isUnreachable } from "./is_unreachable.ts";
import { stepBackendServerView } from "./step_backend_server_view.ts";
import { ViewEventKind } from "./view_event_kind.ts";

const now = 1_000_000;
const { random } = createLoopbackEnvironment(() => 0);

/** Returns how many of 1,000 calls each server receives, given its zone and free slots. */
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

test("chooseBackendServer() prefers the node's zone while it has free slots, and of two servers the one with more free slots", (t) => {
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

test("a backend server whose contact failed is avoided with backoff, and then probed by one call", (t) => {
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
  // Calls that were sent together count as one failure.
  t.deepEqual(stepBackendServerView(once, failed, context), once);
  const twice = stepBackendServerView(once, failed, {
    ...context,
    now: once.avoidedUntil,
  });
  t.true(
    isAvoided(once, now) && twice.avoidedUntil > 2 * once.avoidedUntil - now,
  );
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
  const recovered = stepBackendServerView(probed, {
    kind: ViewEventKind.ContactMade,
  }, context);
  t.false(isAvoided(recovered, later));
});

test("a node that refuses all work is avoided until its record or the rules change", (t) => {
  const step = (
    view: BackendServerView,
    kind: ViewEventKind.WorkRefused | ViewEventKind.WorkAccepted,
  ) => stepBackendServerView(view, { kind }, { now, random: 0 });
  const refused = step(createBackendServerView(12), ViewEventKind.WorkRefused);
  t.true(isAvoided(refused, now));
  t.false(isUnreachable(refused, now));
  t.false(isAvoided(step(refused, ViewEventKind.WorkAccepted), now));
  const record = {
    incarnation: 1,
    freeSlots: 3,
    state: NodeState.Serving,
    backendServerState: BackendServerState.Ready,
  } as PeerRecord;
  const updated = stepBackendServerView(refused, {
    kind: ViewEventKind.RecordReceived,
    record,
  }, { now, random: 0 });
  t.false(isAvoided(updated, now));
  t.is(updated.freeSlots, 3);
  t.is(getFreshRecord(updated, now), record);
  t.is(getFreshRecord(updated, now + 60_000), undefined);
});
