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
}

interface Node {
  view: MeshView;
  readonly feed: SourceFeed;
  position: SourcePosition | undefined;
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

function createFleet(): Fleet {
  return {
    now: startsAt,
    store: { era: 1, revision: 1, history: [], lacksChanges: false },
    nodes: Array.from({ length: nodeCount }, () => ({
      view: createMeshView(),
      feed: createSourceFeed(),
      position: undefined,
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

function readAll(fleet: Fleet, node: Node): void {
  const { era, revision } = fleet.store;
  const reading = { items: getAllItems(fleet), era, revision };
  applyReading(fleet, node, { reading, complete: true, direct: true });
}

/** Reads the store as a follower of the source does. */
function readStore(fleet: Fleet, node: Node): void {
  const { store, now } = fleet;
  const { position } = node;
  if (node.rejected) {
    const sourceAvailableSince = Number.POSITIVE_INFINITY;
    setSourceAvailableSince(node.view, { sourceAvailableSince, now });
    endFeed(node.feed);
    return;
  }
  const isHistoryLost = position === undefined ||
    position.revision > store.revision || position.era !== store.era;
  if (isHistoryLost) return readAll(fleet, node);
  const changes = store.history.map(({ item }) => item)
    .filter(({ revision }) => revision > position.revision);
  // Only the newest change of each key is applied.
  const newest = new Map(changes.map((item) => [item.key, item]));
  const items = [...newest.values()];
  const reading = { items, era: store.era, revision: store.revision };
  applyReading(fleet, node, { reading, complete: false, direct: true });
}

function followNeighbour(fleet: Fleet, node: Node, host: Node): void {
  const { position } = node;
  if (position === undefined || host === node) return;
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
  }),
  { maxLength: 40, size: "max" },
);

function applyStep(fleet: Fleet, step: Step): void {
  const { kind, lost } = step;
  const node = fleet.nodes[step.node]!;
  const identifier = `server-${step.other}`;
  fleet.now += step.elapsedMilliseconds;
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
  if (kind === StepKind.Read) readStore(fleet, node);
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

test("fleet whose store comes back from older copies, with feeds, rejected nodes and restarts: no node goes back, and all are up to date in the end", (t) => {
  fc.assert(
    fc.property(steps, (sequence) => {
      const fleet = createFleet();
      sequence.forEach((step) => {
        applyStep(fleet, step);
        fleet.nodes.forEach((node) => checkNode(fleet, node));
      });
      rewriteAll(fleet);
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
    }),
    { numRuns: 4_000, seed: 1 },
  );
  t.pass();
});
