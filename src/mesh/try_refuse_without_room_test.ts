import test from "ava";
import { recordFullGate } from "../capacity/record_full_gate.ts";
import { Outcome } from "../calls/outcome.ts";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { putEntry } from "../register/put_entry.ts";
import { createOfflineNode } from "../testing/mesh/create_offline_node.ts";
import { createSampleEntry } from "../testing/mesh/create_sample_entry.ts";
import { createSampleRoute } from "../testing/mesh/create_sample_route.ts";
import { createSampleRules } from "../testing/mesh/create_sample_rules.ts";
import type { CallPlan } from "./call_plan.ts";
import { CallResultKind } from "./call_result_kind.ts";
import { createCallProgress } from "./create_call_progress.ts";
import { getServiceCapacity } from "./get_service_capacity.ts";
import type { MeshNode } from "./mesh_node.ts";
import { tryRefuseWithoutRoom } from "./try_refuse_without_room.ts";

const now = 1_000_000;
const service = "tracker";
const coldCallsPerSecond = 14;

/** Creates a node after all nodes restarted. */
function createColdNode(
  servers = 24,
  getZone: (index: number) => string = () => "sul-a",
): MeshNode {
  const node = createOfflineNode({
    clock: { now: () => now },
    timers: { at: () => ({ cancel: () => undefined }) },
  });
  const { view } = node;
  Array.from({ length: servers }, (_, index) =>
    putEntry(
      view.register,
      createSampleEntry({
        identifier: `server-${index}`,
        service,
        zone: getZone(index),
        address: { host: `10.0.0.${index}`, port: 8301 },
        coldUntil: now + 3_000,
      }),
    ));
  view.rules = createSampleRules({
    services: new Map([[service, {
      name: service,
      healthPath: "/",
      connectionsMaximum: 100,
      coldMilliseconds: 3_000,
      coldCallsPerSecond,
    }]]),
  });
  return node;
}

function createPlan(change: Partial<CallPlan> = {}): CallPlan {
  return {
    callIdentifier: "a",
    request: { method: "GET", url: "/", headers: [], body: Buffer.alloc(0) },
    route: createSampleRoute({ goalMilliseconds: 400 }),
    service,
    organisation: undefined,
    priority: 0,
    rulesVersion: 1,
    receivedAt: now,
    deadline: now + 1_500,
    goalDeadline: now + 400,
    mayComeBack: true,
    isNested: false,
    signal: new AbortController().signal,
    ...change,
  };
}

function tryRefuse(node: MeshNode, change: Partial<CallPlan> = {}) {
  return tryRefuseWithoutRoom(node, createCallProgress(createPlan(change)));
}

function recordRefusals(node: MeshNode, waitMilliseconds: number): void {
  ["server-3", "server-7"].forEach((identifier) =>
    recordFullGate(getServiceCapacity(node, service), {
      identifier,
      waitMilliseconds,
      priority: 0,
      now,
    })
  );
}

test("all backend servers cold after a restart of all nodes: one call's refusals end the search of the others", (t) => {
  const node = createColdNode();
  t.is(tryRefuse(node), undefined);
  recordRefusals(node, 300);
  // The first one takes the room that a node may expect, and renews what is known.
  t.is(tryRefuse(node), undefined);
  const results = Array.from({ length: 5 }, () => tryRefuse(node));
  results.forEach((result) =>
    t.like(result, {
      kind: CallResultKind.Refused,
      reason: RefusalReason.ColdStart,
      outcome: Outcome.NotRun,
    })
  );
});

test("a crowd that is refused together is not told to return together, nor before a gate expects room", (t) => {
  const node = createColdNode();
  recordRefusals(node, 300);
  tryRefuse(node);
  const delays = Array.from({ length: 3 }, () => tryRefuse(node))
    .map((result) =>
      result?.kind === CallResultKind.Refused ? result.retryMilliseconds : 0
    );
  const interval = 1_000 / coldCallsPerSecond;
  t.true(delays.every((delay) => delay >= 300));
  t.true(delays[1]! - delays[0]! >= interval * 0.99);
  t.true(delays[2]! - delays[1]! >= interval * 0.99);
});

test("calls whose refusal wastes other work, and those that return as told, are still offered", (t) => {
  const node = createColdNode();
  recordRefusals(node, 300);
  tryRefuse(node);
  t.is(tryRefuse(node, { isNested: true }), undefined);
  t.is(tryRefuse(node, { mayComeBack: false }), undefined);
  t.is(tryRefuse(node, { goalDeadline: now + 100 }), undefined);
});

test("a call that met full gates for a share of its goal is refused, also if others may have room", (t) => {
  const node = createColdNode();
  recordFullGate(getServiceCapacity(node, service), {
    identifier: "server-3",
    waitMilliseconds: 300,
    priority: 0,
    now,
  });
  const progress = createCallProgress(createPlan({ receivedAt: now - 60 }));
  t.is(tryRefuseWithoutRoom(node, progress), undefined);
  progress.fullRefusals = 2;
  progress.lastReason = RefusalReason.ColdStart;
  progress.reportedWaits.set("server-3", 300);
  t.like(tryRefuseWithoutRoom(node, progress), {
    kind: CallResultKind.Refused,
    outcome: Outcome.NotRun,
  });
});

test("a service with few backend servers is asked in full", (t) => {
  const node = createColdNode(4);
  ["server-0", "server-1", "server-2", "server-3"].forEach((identifier) =>
    recordFullGate(getServiceCapacity(node, service), {
      identifier,
      waitMilliseconds: 300,
      priority: 0,
      now,
    })
  );
  Array.from({ length: 5 }, () => t.is(tryRefuse(node), undefined));
});

test("a burst of calls of low priority that met full gates: a call of higher priority is offered", (t) => {
  const node = createColdNode();
  ["server-3", "server-7"].forEach((identifier) =>
    recordFullGate(getServiceCapacity(node, service), {
      identifier,
      waitMilliseconds: 300,
      priority: 3,
      now,
    })
  );
  const results = Array.from(
    { length: 5 },
    () => tryRefuse(node, { priority: 1 }),
  );
  t.deepEqual(results, Array(5).fill(undefined));
});

test("a burst in one zone: a call that met its full gates for a share of the goal is offered to other zones", (t) => {
  const node = createColdNode(
    24,
    (index) => index < 8 ? "sul-a" : "sul-b",
  );
  recordRefusals(node, 300);
  const progress = createCallProgress(createPlan({ receivedAt: now - 60 }));
  t.is(tryRefuseWithoutRoom(node, progress), undefined);
  progress.fullRefusals = 2;
  t.is(tryRefuseWithoutRoom(node, progress), undefined);
});
