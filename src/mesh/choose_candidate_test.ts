import test from "ava";
import { recordAnswer } from "../balancing/record_answer.ts";
import { recordContactFailure } from "../balancing/record_contact_failure.ts";
import { recordLoad } from "../balancing/record_load.ts";
import { ServerCondition } from "../gate/server_condition.ts";
import { createRandomSource } from "../runtime/create_random_source.ts";
import type { RegisterEntry } from "../register/register_entry.ts";
import { SourceValueKind } from "../source/source_value_kind.ts";
import { createOfflineNode } from "../testing/mesh/create_offline_node.ts";
import { createSampleEntry } from "../testing/mesh/create_sample_entry.ts";
import { createSampleRoute } from "../testing/mesh/create_sample_route.ts";
import { createVirtualTime } from "../testing/create_virtual_time.ts";
import { applySourceReading } from "./apply_source_reading.ts";
import type { CallPlan } from "./call_plan.ts";
import { chooseCandidate } from "./choose_candidate.ts";
import { createCallProgress } from "./create_call_progress.ts";
import { getGateView } from "./get_gate_view.ts";
import type { MeshNode } from "./mesh_node.ts";

const now = 1_000_000;
const zones = ["sul-a", "sul-b", "sul-c"];
const slots = 12;

/** The first one is beside the node if `subnet` is 0. */
function createEntries(count: number, subnet = 0): readonly RegisterEntry[] {
  return Array.from({ length: count }, (_, index) =>
    createSampleEntry({
      identifier: `i-${index + 1}`,
      address: {
        host: `10.${subnet}.${index >> 8}.${(index & 255) + 1}`,
        port: 8301,
      },
      zone: zones[index % zones.length]!,
      slots,
    }));
}

function register(node: MeshNode, entries: readonly RegisterEntry[]): void {
  applySourceReading(node.view, {
    era: 0,
    revision: 1,
    items: entries.map((entry) => ({
      key: entry.identifier,
      revision: 1,
      fact: { kind: SourceValueKind.BackendServer, entry },
    })),
  }, { complete: false, now });
}

function createNode(
  entries: readonly RegisterEntry[],
  time = createVirtualTime(now),
): MeshNode {
  const node = createOfflineNode(time);
  register(node, entries);
  node.gate.slots = slots;
  node.gate.condition = ServerCondition.Up;
  return node;
}

function createProgress(node: MeshNode) {
  const route = createSampleRoute();
  const plan: CallPlan = {
    callIdentifier: "a",
    request: { method: "GET", url: "/", headers: [], body: Buffer.alloc(0) },
    route,
    service: node.settings.service,
    organisation: undefined,
    priority: 1,
    rulesVersion: 1,
    receivedAt: now,
    deadline: now + route.timeoutMilliseconds,
    goalDeadline: now + route.goalMilliseconds,
    mayComeBack: true,
    isNested: false,
    signal: new AbortController().signal,
  };
  return createCallProgress(plan);
}

const choose = (node: MeshNode) =>
  chooseCandidate(node, createProgress(node))?.entry.identifier;

function occupyOwnSlots(node: MeshNode, count: number): void {
  Array.from(
    { length: count },
    (_, index) =>
      node.gate.running.set(String(index), {
        route: "slots",
        getFingerprint: () => "",
        isNested: false,
        shareKey: "vitrine",
        startedAt: now,
      }),
  );
}

/** Counts the reads of views and entries of backend servers in 200 choices. */
function countReads(servers: number): number {
  let reads = 0;
  const countingOf = <Value extends object>(value: Value): Value =>
    new Proxy(value, {
      get: (target, key) => {
        reads += 1;
        return Reflect.get(target, key);
      },
    });
  const entries = createEntries(servers, 1);
  const node = createNode(entries.map(countingOf));
  entries.forEach(({ identifier }) => {
    const view = getGateView(node, identifier);
    recordLoad(view, {
      load: { running: 4, queued: 0, slots, cold: false },
      now,
    });
    node.gateViews.set(identifier, countingOf(view));
  });
  choose(node);
  reads = 0;
  Array.from({ length: 200 }, () => choose(node));
  return reads;
}

test("the cost of a choice does not depend on the number of backend servers: 12, 60 and 300", (t) => {
  const [few, more, most] = [12, 60, 300].map(countReads) as [
    number,
    number,
    number,
  ];
  t.log({ few, more, most });
  t.true(few > 0);
  t.is(more, few);
  t.is(most, few);
});

test("a call that the own backend server can start goes there, not through a second node", (t) => {
  const node = createNode(createEntries(18));
  const chosen = Array.from({ length: 50 }, () => choose(node));
  t.deepEqual([...new Set(chosen)], ["i-1"]);
});

test("the own backend server is full, closed, down or cold: the call goes elsewhere", (t) => {
  const changes: readonly ((node: MeshNode) => void)[] = [
    (node) => occupyOwnSlots(node, slots),
    (node) => {
      node.gate.condition = ServerCondition.Down;
      getGateView(node, "i-1").avoidUntil = now + 300;
    },
    (node) => {
      node.gate.coldUntil = now + 1_000;
    },
  ];
  changes.forEach((change) => {
    const node = createNode(createEntries(18));
    change(node);
    const chosen = Array.from({ length: 50 }, () => choose(node));
    t.true(chosen.every((identifier) => identifier !== "i-1"));
  });
});

test("all gates but one of a large service are known to be full: a complete pass finds it", (t) => {
  const entries = createEntries(300);
  const node = createNode(entries);
  entries.forEach(({ identifier }) => {
    const isFree = identifier === "i-250";
    getGateView(node, identifier).fullUntil = isFree ? 0 : now + 50;
  });
  t.is(choose(node), "i-250");
});

test("with each gate of a zone full, calls spread over the other zones by their room", (t) => {
  const entries = createEntries(60);
  const node = createNode(entries);
  occupyOwnSlots(node, slots);
  entries.filter(({ zone }) => zone === "sul-a").forEach(({ identifier }) => {
    getGateView(node, identifier).fullUntil = now + 50;
  });
  const chosen = Array.from({ length: 400 }, () => choose(node));
  const inB =
    chosen.filter((identifier) =>
      node.view.register.get(identifier ?? "")?.entry.zone === "sul-b"
    ).length;
  t.true(inB > 150 && inB < 250, `${inB}`);
  t.true(new Set(chosen).size > 30);
});

test("half of the backend servers cannot be reached: none of them is chosen while others can be", (t) => {
  const entries = createEntries(60);
  const node = createNode(entries);
  occupyOwnSlots(node, slots);
  const unreachable = new Set(
    entries.filter((_, index) => index % 2 === 1).map(({ identifier }) =>
      identifier
    ),
  );
  unreachable.forEach((identifier) => {
    getGateView(node, identifier).avoidUntil = now + 500;
  });
  const chosen = Array.from({ length: 200 }, () => choose(node));
  t.true(chosen.every((identifier) => !unreachable.has(identifier ?? "")));
});

test("all gates are full: the call waits where the wait is shortest among those that refused it and a few others", (t) => {
  const entries = createEntries(300);
  const node = createNode(entries);
  occupyOwnSlots(node, slots);
  entries.forEach(({ identifier }) => {
    const view = getGateView(node, identifier);
    view.fullUntil = now + 50;
    view.waitMilliseconds = 40;
  });
  const progress = createProgress(node);
  progress.isWaitingRound = true;
  [30, 10, 20].forEach((wait, index) =>
    progress.reportedWaits.set(`i-${index + 100}`, wait)
  );
  t.is(chooseCandidate(node, progress)?.entry.identifier, "i-101");
  progress.excluded.add("i-101");
  t.is(chooseCandidate(node, progress)?.entry.identifier, "i-102");
});

test("an idle, equally fast backend server of the own zone comes before one of another zone, so that few bytes cross zones", (t) => {
  const entries = createEntries(60);
  const node = createNode(entries);
  occupyOwnSlots(node, slots);
  entries.forEach(({ identifier }) =>
    recordLoad(getGateView(node, identifier), {
      load: { running: 6, queued: 0, slots, cold: false },
      now,
    })
  );
  const chosen = Array.from({ length: 200 }, () => choose(node));
  const crossing =
    chosen.filter((identifier) =>
      node.view.register.get(identifier ?? "")?.entry.zone !== "sul-a"
    ).length;
  t.is(crossing, 0);
});

test("a power cut took most of a service: a call goes to one of the few that were reached, not to another that was lost", (t) => {
  const entries = createEntries(60);
  const node = createNode(entries);
  occupyOwnSlots(node, slots);
  const reached = new Set(["i-2", "i-31", "i-60"]);
  entries.filter(({ identifier }) => !reached.has(identifier))
    .forEach(({ identifier }) => {
      const view = getGateView(node, identifier);
      recordContactFailure(view, now - 600);
      view.failureRate = 0.2;
      view.lastOutcomeAt = now - 600;
    });
  const chosen = Array.from({ length: 100 }, () => choose(node));
  t.true(chosen.every((identifier) => reached.has(identifier ?? "")));
});

test("a backend server that could not be reached once gets calls again within 4 seconds, also while many others can be reached", (t) => {
  const entries = createEntries(60);
  const node = createNode(entries);
  occupyOwnSlots(node, slots);
  recordContactFailure(getGateView(node, "i-4"), now - 4_000);
  const chosen = Array.from({ length: 400 }, () => choose(node));
  t.true(chosen.includes("i-4"));
});

/** Sends 800 calls one after another; returns the share that `failing` gets. */
async function getShareOfFailing(
  failing: string,
  options: {
    readonly failureShare: number;
    readonly ownIsFull: boolean;
    readonly callsPerSecond: number;
    readonly servers: number;
  },
): Promise<number> {
  const { failureShare, ownIsFull, callsPerSecond, servers } = options;
  const intervalMilliseconds = 1_000 / callsPerSecond;
  const time = createVirtualTime(now);
  const node = createNode(createEntries(servers), time);
  if (ownIsFull) occupyOwnSlots(node, slots);
  const random = createRandomSource(5);
  const instants = Array.from(
    { length: 800 },
    (_, index) => now + index * intervalMilliseconds,
  );
  let calls = 0;
  // One call after another, as each choice depends on the outcome of those before.
  for (const instant of instants) {
    await time.advanceTo(instant);
    const identifier = choose(node)!;
    const isFailing = identifier === failing;
    if (isFailing) calls += 1;
    const view = getGateView(node, identifier);
    // A backend server that fails calls quickly looks idle.
    const running = isFailing ? 0 : 9;
    recordLoad(view, {
      load: { running, queued: 0, slots, cold: false },
      now: instant,
    });
    recordAnswer(view, {
      route: "slots",
      elapsedMilliseconds: 40,
      failed: isFailing && random.next() < failureShare,
      now: instant,
    });
  }
  return calls / instants.length;
}

const failureShare = 1 / 3;
const failingCases = [
  { servers: 18, callsPerSecond: 20 },
  { servers: 18, callsPerSecond: 200 },
  { servers: 60, callsPerSecond: 1_000 },
];

test("a backend server that quickly fails a third of its calls looks idle, but gets at most half as many as the mean", async (t) => {
  const shares = await Promise.all(
    failingCases.map((failingCase) =>
      getShareOfFailing("i-4", {
        ...failingCase,
        failureShare,
        ownIsFull: true,
      })
    ),
  );
  t.log({ shares });
  shares.forEach((share, index) =>
    t.true(share <= 0.5 / failingCases[index]!.servers)
  );
});

test("the own backend server fails a third of its calls: it gets at most a tenth of them", async (t) => {
  const shares = await Promise.all(
    failingCases.map((failingCase) =>
      getShareOfFailing("i-1", {
        ...failingCase,
        failureShare,
        ownIsFull: false,
      })
    ),
  );
  t.log({ shares });
  shares.forEach((share) => t.true(share <= 0.1));
});

test("all gates are full: a call does not wait for a backend server that could not be reached", (t) => {
  const entries = createEntries(12);
  const node = createNode(entries);
  occupyOwnSlots(node, slots);
  recordContactFailure(getGateView(node, "i-2"), now);
  const progress = createProgress(node);
  progress.isWaitingRound = true;
  entries.filter(({ identifier }) => identifier !== "i-2")
    .forEach(({ identifier }) => progress.reportedWaits.set(identifier, 10));
  t.not(chooseCandidate(node, progress)?.entry.identifier, "i-2");
});
