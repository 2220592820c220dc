import test from "ava";
import { Result } from "true-myth";
import { HolderKind } from "../address_holder/holder_kind.ts";
import type { SourceReading } from "../source/source_reading.ts";
import { SourceValueKind } from "../source/source_value_kind.ts";
import { createVirtualTime } from "../testing/create_virtual_time.ts";
import { createOfflineNode } from "../testing/mesh/create_offline_node.ts";
import { createSampleEntry } from "../testing/mesh/create_sample_entry.ts";
import { applySourceReading } from "./apply_source_reading.ts";
import { createHolderLookup } from "./create_holder_lookup.ts";
import type { MeshNode } from "./mesh_node.ts";
import { readClocks } from "./read_clocks.ts";
import { recordAddressHolder } from "./record_address_holder.ts";
import { updateGate } from "./update_gate.ts";

const first = "first";
const successor = "successor";
const tickMilliseconds = 100;

interface Stage {
  readonly node: MeshNode;
  /** What the source returns for the entry of the successor. */
  entries: SourceReading["items"];
  readonly reads: string[];
  see(identifier: string): void;
  /** Runs the lookup at each tick of the given time. */
  run(milliseconds: number): Promise<void>;
}

function createStage(): Stage {
  const time = createVirtualTime(1_000_000);
  const node = createOfflineNode(time);
  const stage: Stage = {
    node,
    entries: [],
    reads: [],
    see: (identifier) =>
      recordAddressHolder(node, { identifier, requestedAt: readClocks(node) }),
    run: async (milliseconds) => {
      const ticks = Array.from({ length: milliseconds / tickMilliseconds });
      await ticks.reduce<Promise<void>>(async (previous) => {
        await previous;
        lookUp();
        await time.advanceTo(time.clock.now() + tickMilliseconds);
      }, Promise.resolve());
    },
  };
  const lookUp = createHolderLookup(node, {
    readBackendServer: (identifier) => {
      stage.reads.push(identifier);
      const reading = { items: stage.entries, era: 0, revision: 9 };
      return Promise.resolve(Result.ok(reading));
    },
  });
  applySourceReading(node.view, { items: [], era: 0, revision: 1 }, {
    complete: true,
    now: node.clock.now(),
  });
  return stage;
}

function createItem(change: { readonly service: string }) {
  const entry = createSampleEntry({ identifier: successor, ...change });
  const fact = { kind: SourceValueKind.BackendServer, entry } as const;
  return { key: `server/${successor}`, revision: 9, fact };
}

/** The first backend server was of the node's service; time for another one's use of its address has passed. */
async function createStageAfterReuse(): Promise<Stage> {
  const stage = createStage();
  stage.see(first);
  stage.node.addressHolder.own = stage.node.addressHolder.latest;
  updateGate(stage.node);
  await stage.run(stage.node.settings.addressReuseMilliseconds);
  stage.see(successor);
  return stage;
}

// Guards against a backend server that has come back and waits for the next
// reading of the source, although its entry is there.
test("the entry of a backend server that takes the place of another one is read until it is there", async (t) => {
  const stage = await createStageAfterReuse();
  t.is(stage.node.addressHolder.kind, HolderKind.Unlisted);
  await stage.run(1_000);
  const early = stage.reads.length;
  t.true(early >= 4 && early <= 6);
  stage.entries = [createItem({ service: "vitrine" })];
  await stage.run(1_000);
  t.is(stage.node.addressHolder.kind, HolderKind.Own);
  const { length } = stage.reads;
  await stage.run(10_000);
  t.is(stage.reads.length, length);
  t.true(stage.reads.every((identifier) => identifier === successor));
});

// Guards against many reads for a backend server that is never listed, and for
// one that is known to belong to another service.
test("reads for a backend server that is not listed become rare, and end when it is listed under another service", async (t) => {
  const stage = await createStageAfterReuse();
  await stage.run(20_000);
  t.true(stage.reads.length <= 18);
  stage.entries = [createItem({ service: "encomendas" })];
  await stage.run(3_000);
  t.is(stage.node.addressHolder.kind, HolderKind.Foreign);
  const { length } = stage.reads;
  await stage.run(5_000);
  t.is(stage.reads.length, length);
});

// Guards against a read by each of many nodes that start at once, all of which are
// about to read the whole register.
test("a node that starts does not read the entry of the first backend server that it sees", async (t) => {
  const stage = createStage();
  stage.see(first);
  await stage.run(3_000);
  t.deepEqual(stage.reads, []);
});
