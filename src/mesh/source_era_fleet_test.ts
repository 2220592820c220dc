import test from "ava";
import fc from "fast-check";
import { BackendServerAvailability } from "../register/backend_server_availability.ts";
import { isRemovalConfirmed } from "../register/is_removal_confirmed.ts";
import { createSourceFeed } from "../source/create_source_feed.ts";
import { endFeed } from "../source/end_feed.ts";
import type { FeedSubscriber } from "../source/feed_subscriber.ts";
import { publishFeedReading } from "../source/publish_feed_reading.ts";
import type { SourceFeed } from "../source/source_feed.ts";
import type { SourceItem } from "../source/source_item.ts";
import type { SourcePosition } from "../source/source_position.ts";
import type { SourceReading } from "../source/source_reading.ts";
import type { SourceValue } from "../source/source_value.ts";
import { SourceValueKind } from "../source/source_value_kind.ts";
import { tryDecodeFeedLine } from "../source/try_decode_feed_line.ts";
import { tryGetInitialFeedLines } from "../source/try_get_initial_feed_lines.ts";
import { createSampleEntry } from "../testing/mesh/create_sample_entry.ts";
import { createSampleRules } from "../testing/mesh/create_sample_rules.ts";
import { applySourceReading } from "./apply_source_reading.ts";
import { createMeshView } from "./create_mesh_view.ts";
import { listReadingItems } from "./list_reading_items.ts";
import type { MeshView } from "./mesh_view.ts";
import { setSourceAvailableSince } from "./set_source_available_since.ts";
import { tryCreateLineReading } from "./try_create_line_reading.ts";

const nodeCount = 2;
const serverCount = 2;
const startsAt = 1_000_000;
const staleMilliseconds = 1_400;
/** An answer of the store that comes later counts as lost. */
const answerMillisecondsMaximum = 1_000;
const settleMilliseconds = 10_000;
const copyAgeMillisecondsMaximum = 5_000;
const bytesMaximum = 1_000_000;
const rulesKey = "rules";

interface StoredChange {
  readonly item: SourceItem;
  readonly writtenAt: number;
}

interface Store {
  era: number;
  revision: number;
  history: readonly StoredChange[];
  /** Whether the store lost changes that have not been written again. */
  lacksChanges: boolean;
  /** Whether answers may come late or not at all. */
  readonly slow: boolean;
}

/** A read that the store has answered, and whose answer is on its way. */
interface PendingRead {
  /** The position whose changes were requested; undefined for all items. */
  readonly after: SourcePosition | undefined;
  readonly answer: SourceReading;
  readonly arrivesAt: number;
  /** The answer is lost for the node if it arrives later. */
  readonly timesOutAt: number;
}

interface Node {
  view: MeshView;
  readonly feed: SourceFeed;
  position: SourcePosition | undefined;
  pendingRead: PendingRead | undefined;
  /** Answers that this node no longer waits for; they may still arrive. */
  lateReads: readonly PendingRead[];
  /** Whether the store rejects this node. */
  rejected: boolean;
  /** The highest version in force in this life of the process. */
  version: number;
  /** Backend servers that this node knows to have left. */
  readonly left: Set<string>;
}

interface Fleet {
  now: number;
  readonly store: Store;
  readonly nodes: readonly Node[];
  /** What operators and backend servers have written last. */
  version: number;
  readonly sequences: Map<string, number>;
}

function createFleet({ slow }: { readonly slow: boolean }): Fleet {
  return {
    now: startsAt,
    store: { era: 1, revision: 1, history: [], lacksChanges: false, slow },
    nodes: Array.from({ length: nodeCount }, () => ({
      view: createMeshView(),
      feed: createSourceFeed(),
      position: undefined,
      pendingRead: undefined,
      lateReads: [],
      rejected: false,
      version: 0,
      left: new Set<string>(),
    })),
    version: 0,
    sequences: new Map(),
  };
}

function write(
  { store, now }: Fleet,
  key: string,
  fact: SourceValue | undefined,
): void {
  store.revision += 1;
  const item = { key, revision: store.revision, fact };
  store.history = [...store.history, { item, writtenAt: now }];
}

function restoreCopy({ store, now }: Fleet, changesLost: number): void {
  const kept = store.history.filter(({ writtenAt }, index) =>
    index < store.history.length - changesLost ||
    writtenAt < now - copyAgeMillisecondsMaximum
  );
  store.lacksChanges = true;
  store.history = kept;
  store.revision = kept.at(-1)?.item.revision ?? 1;
  store.era += 1;
}

function getAllItems({ store }: Fleet): readonly SourceItem[] {
  const newest = new Map(store.history.map(({ item }) => [item.key, item]));
  return [...newest.values()].filter(({ fact }) => fact !== undefined);
}

function applyReading(
  fleet: Fleet,
  node: Node,
  options: {
    readonly reading: SourceReading;
    readonly complete: boolean;
    readonly direct: boolean;
  },
): void {
  const { reading, complete, direct } = options;
  const { now } = fleet;
  const { view, feed } = node;
  if (!Number.isFinite(view.sourceAvailableSince)) {
    setSourceAvailableSince(view, { sourceAvailableSince: now, now });
  }
  if (direct) {
    const items = listReadingItems(view, reading, { complete });
    publishFeedReading(feed, { ...reading, items }, {
      rules: view.rules,
      now,
      bytesMaximum,
    });
  }
  applySourceReading(view, reading, { complete, now });
  node.position = { era: reading.era, revision: reading.revision };
}

/** Returns what the store answers now. */
function getAnswer(
  fleet: Fleet,
  after: SourcePosition | undefined,
): SourceReading {
  const { era, revision, history } = fleet.store;
  if (after === undefined) return { items: getAllItems(fleet), era, revision };
  const changes = history.map(({ item }) => item)
    .filter((item) => item.revision > after.revision);
  // Only the newest change of each key is applied.
  const newest = new Map(changes.map((item) => [item.key, item]));
  return { items: [...newest.values()], era, revision };
}

/** Handles a failed or lost read as a follower of the source does. */
function handleFailedRead(fleet: Fleet, node: Node): void {
  const sourceAvailableSince = Number.POSITIVE_INFINITY;
  setSourceAvailableSince(node.view, { sourceAvailableSince, now: fleet.now });
  endFeed(node.feed);
}

/** Sends a read to the store, which is reached at once and answers later. */
function sendRead(
  fleet: Fleet,
  node: Node,
  answerMilliseconds: number,
): void {
  if (node.rejected) return handleFailedRead(fleet, node);
  const { store, now } = fleet;
  const { position } = node;
  const isHistoryLost = position !== undefined &&
    position.revision > store.revision;
  const after = isHistoryLost ? undefined : position;
  node.pendingRead = {
    after,
    answer: getAnswer(fleet, after),
    arrivesAt: now + answerMilliseconds,
    timesOutAt: now + answerMillisecondsMaximum,
  };
}

function handleAnswer(
  fleet: Fleet,
  node: Node,
  { after, answer }: PendingRead,
): void {
  if (after !== undefined && answer.era > after.era) {
    node.position = undefined;
    return readStore(fleet, node);
  }
  const complete = after === undefined;
  applyReading(fleet, node, { reading: answer, complete, direct: true });
}

/** Handles the answer that has arrived, or has not arrived in time. */
function finishRead(fleet: Fleet, node: Node): void {
  const { pendingRead } = node;
  if (pendingRead === undefined) return;
  const { arrivesAt, timesOutAt } = pendingRead;
  if (Math.min(arrivesAt, timesOutAt) > fleet.now) return;
  node.pendingRead = undefined;
  if (arrivesAt <= timesOutAt) return handleAnswer(fleet, node, pendingRead);
  node.lateReads = [...node.lateReads, pendingRead];
  handleFailedRead(fleet, node);
}

/** Reads the store, which answers at once. */
function readStore(fleet: Fleet, node: Node): void {
  sendRead(fleet, node, 0);
  finishRead(fleet, node);
}

/**
 * Delivers the late answers of an era that has ended; others cannot arrive,
 * since their connection is closed and the store is linearizable.
 */
function deliverLateAnswers({ now }: Fleet, node: Node): void {
  const { view, lateReads } = node;
  node.lateReads = lateReads.filter(({ arrivesAt }) => arrivesAt > now);
  const changes = lateReads
    .filter(({ arrivesAt, answer }) =>
      arrivesAt <= now && answer.era < (view.sourceEra ?? 0)
    )
    .flatMap(({ after, answer }) =>
      applySourceReading(view, answer, { complete: after === undefined, now })
    );
  if (changes.length > 0) throw new Error("An answer of an ended era applied");
}

/** Lets time pass up to `instant`, in which answers arrive in their order. */
function advanceTo(fleet: Fleet, instant: number): void {
  if (!fleet.store.slow) {
    fleet.now = instant;
    return;
  }
  const next = fleet.nodes
    .flatMap(({ pendingRead }) => pendingRead ?? [])
    .map(({ arrivesAt, timesOutAt }) => Math.min(arrivesAt, timesOutAt))
    .reduce((first, due) => Math.min(first, due), instant);
  fleet.now = Math.max(fleet.now, next);
  fleet.nodes.forEach((node) => {
    finishRead(fleet, node);
    deliverLateAnswers(fleet, node);
    checkNode(fleet, node);
  });
  if (fleet.now < instant) advanceTo(fleet, instant);
}

function followNeighbour(fleet: Fleet, node: Node, host: Node): void {
  const { position } = node;
  if (position === undefined || host === node) return;
  if (node.pendingRead !== undefined) return;
  const { now } = fleet;
  const lines = tryGetInitialFeedLines(host.feed, {
    after: position,
    now,
    staleMilliseconds,
  });
  const subscriber: FeedSubscriber = {
    write: (text) =>
      text.split("\n").filter((line) => line !== "").forEach(handleLine),
    end: () => void host.feed.subscribers.delete(subscriber),
  };
  function handleLine(text: string): void {
    const line = tryDecodeFeedLine(text);
    const after = node.position;
    const reading = line === undefined || after === undefined
      ? undefined
      : tryCreateLineReading(line, {
        after,
        rules: node.view.rules,
        now: fleet.now,
      });
    if (reading === undefined) {
      subscriber.end();
      node.position = undefined;
      return;
    }
    // A node that reads the store no longer follows a neighbour.
    if (node.pendingRead !== undefined) return subscriber.end();
    endFeed(node.feed);
    applyReading(fleet, node, { reading, complete: false, direct: false });
  }
  if (lines === undefined) return;
  host.feed.subscribers.add(subscriber);
  subscriber.write(lines);
}

/** Starts the process of a node again, with nothing of its last life. */
function restart(node: Node): void {
  node.view = createMeshView();
  endFeed(node.feed);
  node.position = undefined;
  node.pendingRead = undefined;
  node.lateReads = [];
  node.version = 0;
  node.left.clear();
}

function publishServer(
  fleet: Fleet,
  identifier: string,
  availability: BackendServerAvailability,
): void {
  const sequence = (fleet.sequences.get(identifier) ?? 0) + 1;
  fleet.sequences.set(identifier, sequence);
  const address = { host: identifier, port: 1 };
  const entry = createSampleEntry({
    identifier,
    address,
    sequence,
    availability,
  });
  write(fleet, identifier, { kind: SourceValueKind.BackendServer, entry });
}

function publishRules(fleet: Fleet): void {
  const rules = createSampleRules({ version: fleet.version });
  write(fleet, rulesKey, { kind: SourceValueKind.Rules, rules });
}

function mayReceiveCalls(
  fleet: Fleet,
  { view }: Node,
  identifier: string,
): boolean {
  const record = view.register.get(identifier);
  return record !== undefined &&
    record.entry.availability === BackendServerAvailability.Ready &&
    !isRemovalConfirmed(record, fleet.now);
}

function checkNode(fleet: Fleet, node: Node): void {
  const version = node.view.rules?.version ?? 0;
  if (version < node.version) throw new Error("An older version is in force");
  node.version = version;
  node.left.forEach((identifier) => {
    if (mayReceiveCalls(fleet, node, identifier)) {
      throw new Error(`"${identifier}" had left and may receive calls`);
    }
  });
  // An identifier that has left is not used again, and one that drains leaves.
  Array.from(node.view.register.keys())
    .filter((identifier) => !mayReceiveCalls(fleet, node, identifier))
    .filter((identifier) => hasLeft(fleet, identifier))
    .forEach((identifier) => node.left.add(identifier));
}

/** Whether the backend server drains or is gone for good. */
function hasLeft({ sequences }: Fleet, identifier: string): boolean {
  return sequences.get(`left ${identifier}`) !== undefined;
}

enum StepKind {
  Start = "start",
  Drain = "drain",
  Remove = "remove",
  Rules = "rules",
  Restore = "restore",
  Rewrite = "rewrite",
  Read = "read",
  Follow = "follow",
  Reject = "reject",
  Restart = "restart",
}

interface Step {
  readonly kind: StepKind;
  readonly node: number;
  readonly other: number;
  readonly lost: number;
  readonly elapsedMilliseconds: number;
  /** Time until an answer of a slow store arrives; at once if it is not positive. */
  readonly answerMilliseconds: number;
}

const steps = fc.array(
  fc.record<Step>({
    kind: fc.constantFrom(
      ...Object.values(StepKind),
      StepKind.Read,
      StepKind.Read,
      StepKind.Follow,
    ),
    node: fc.nat(nodeCount - 1),
    other: fc.nat(serverCount - 1),
    lost: fc.integer({ min: 1, max: 6 }),
    elapsedMilliseconds: fc.nat(1_500),
    answerMilliseconds: fc.integer({
      min: -2 * answerMillisecondsMaximum,
      max: 2 * answerMillisecondsMaximum,
    }),
  }),
  { maxLength: 40, size: "max" },
);

function applyStep(fleet: Fleet, step: Step): void {
  const { kind, lost } = step;
  const node = fleet.nodes[step.node]!;
  const identifier = `server-${step.other}`;
  advanceTo(fleet, fleet.now + step.elapsedMilliseconds);
  if (kind === StepKind.Start && !hasLeft(fleet, identifier)) {
    publishServer(fleet, identifier, BackendServerAvailability.Ready);
  }
  if (kind === StepKind.Drain && fleet.sequences.has(identifier)) {
    fleet.sequences.set(`left ${identifier}`, 1);
    publishServer(fleet, identifier, BackendServerAvailability.Draining);
  }
  if (kind === StepKind.Remove && fleet.sequences.has(identifier)) {
    fleet.sequences.set(`left ${identifier}`, 2);
    write(fleet, identifier, undefined);
  }
  if (kind === StepKind.Rules) {
    fleet.version += 1;
    publishRules(fleet);
  }
  if (kind === StepKind.Restore) restoreCopy(fleet, lost);
  if (kind === StepKind.Rewrite) rewriteAll(fleet);
  if (kind === StepKind.Read && node.pendingRead === undefined) {
    sendRead(fleet, node, fleet.store.slow ? step.answerMilliseconds : 0);
    finishRead(fleet, node);
  }
  if (kind === StepKind.Follow) {
    followNeighbour(fleet, node, fleet.nodes[step.other]!);
  }
  if (kind === StepKind.Reject) node.rejected = !node.rejected;
  if (kind === StepKind.Restart) restart(node);
}

/** Operators and backend servers write again what the store has lost. */
function rewriteAll(fleet: Fleet): void {
  if (!fleet.store.lacksChanges) return;
  fleet.store.lacksChanges = false;
  if (fleet.version > 0) publishRules(fleet);
  Array.from({ length: serverCount }, (_, index) => `server-${index}`)
    .filter((identifier) => fleet.sequences.has(identifier))
    .forEach((identifier) => {
      if (hasLeft(fleet, identifier)) write(fleet, identifier, undefined);
      else publishServer(fleet, identifier, BackendServerAvailability.Ready);
    });
}

function publishHeartbeats(fleet: Fleet): void {
  Array.from({ length: serverCount }, (_, index) => `server-${index}`)
    .filter((identifier) =>
      fleet.sequences.has(identifier) && !hasLeft(fleet, identifier)
    )
    .forEach((identifier) =>
      publishServer(fleet, identifier, BackendServerAvailability.Ready)
    );
}

function isUpToDate(fleet: Fleet, node: Node): boolean {
  return (node.view.rules?.version ?? 0) === fleet.version &&
    Array.from({ length: serverCount }, (_, index) => `server-${index}`)
      .every((identifier) =>
        mayReceiveCalls(fleet, node, identifier) ===
          (fleet.sequences.has(identifier) && !hasLeft(fleet, identifier))
      );
}

/** Returns whether all nodes are up to date in the end; throws if one goes back. */
function playSequence(fleet: Fleet, sequence: readonly Step[]): boolean {
  sequence.forEach((step) => {
    applyStep(fleet, step);
    fleet.nodes.forEach((node) => checkNode(fleet, node));
  });
  rewriteAll(fleet);
  advanceTo(fleet, fleet.now + 2 * answerMillisecondsMaximum);
  fleet.nodes.forEach((node) => {
    node.rejected = false;
    readStore(fleet, node);
    checkNode(fleet, node);
  });
  fleet.now += settleMilliseconds;
  publishHeartbeats(fleet);
  fleet.nodes.forEach((node) => {
    readStore(fleet, node);
    checkNode(fleet, node);
  });
  return fleet.nodes.every((node) => isUpToDate(fleet, node));
}

test("fleet whose store comes back from older copies, prompt or slow, with lost answers, feeds, rejected nodes and restarts: no node goes back, and all are up to date in the end", (t) => {
  fc.assert(
    fc.property(
      fc.boolean(),
      steps,
      (slow, sequence) => playSequence(createFleet({ slow }), sequence),
    ),
    { numRuns: 4_000, seed: 1 },
  );
  t.pass();
});

function createStep(
  kind: StepKind,
  { elapsedMilliseconds = 0 }: { readonly elapsedMilliseconds?: number } = {},
): Step {
  return {
    kind,
    node: 0,
    other: 0,
    lost: 1,
    elapsedMilliseconds,
    answerMilliseconds: 0,
  };
}

test("fixed case: a backend server whose removal counts stays out of use when a later copy lists a heartbeat that this node never read", (t) => {
  t.true(playSequence(createFleet({ slow: false }), [
    createStep(StepKind.Start),
    createStep(StepKind.Read),
    createStep(StepKind.Restore),
    createStep(StepKind.Read),
    createStep(StepKind.Start),
    createStep(StepKind.Remove),
    createStep(StepKind.Restore),
    // Only lets time pass: the backend server has left.
    createStep(StepKind.Start, { elapsedMilliseconds: 2_200 }),
    createStep(StepKind.Read),
  ]));
});
