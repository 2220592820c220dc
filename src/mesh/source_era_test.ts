import test from "ava";
import { BackendServerAvailability } from "../register/backend_server_availability.ts";
import { isRemovalConfirmed } from "../register/is_removal_confirmed.ts";
import type { RegisterEntry } from "../register/register_entry.ts";
import type { SourceItem } from "../source/source_item.ts";
import type { SourceValue } from "../source/source_value.ts";
import { SourceValueKind } from "../source/source_value_kind.ts";
import { createSampleEntry } from "../testing/mesh/create_sample_entry.ts";
import { createSampleRules } from "../testing/mesh/create_sample_rules.ts";
import { applySourceReading } from "./apply_source_reading.ts";
import { createMeshView } from "./create_mesh_view.ts";
import type { MeshView } from "./mesh_view.ts";
import { setSourceAvailableSince } from "./set_source_available_since.ts";

/**
 * A source that loses its latest changes and comes back from an older copy, with
 * one node that reads it. Time is virtual.
 */
interface Model {
  now: number;
  era: number;
  revision: number;
  items: Map<string, SourceItem>;
  /** The states to which the source may return, oldest first. */
  copies: {
    readonly revision: number;
    readonly items: Map<string, SourceItem>;
    readonly takenAt: number;
  }[];
  readonly view: MeshView;
}

const zone = "sul-a";
const zoneKey = `zones/${zone}`;
const rulesKey = "rules";
const settleMilliseconds = 10_000;
const copyAgeMillisecondsMaximum = 5_000;

function createModel(): Model {
  const model: Model = {
    now: 1_000_000,
    era: 1,
    revision: 1,
    items: new Map(),
    copies: [],
    view: createMeshView(),
  };
  setSourceAvailableSince(model.view, {
    sourceAvailableSince: model.now - 60_000,
    now: model.now,
  });
  return model;
}

function write(
  model: Model,
  key: string,
  fact: SourceValue | undefined,
): void {
  model.copies.push({
    revision: model.revision,
    items: new Map(model.items),
    takenAt: model.now,
  });
  model.revision += 1;
  if (fact === undefined) model.items.delete(key);
  else model.items.set(key, { key, revision: model.revision, fact });
}

function restoreCopy(model: Model, changesLost: number): void {
  const copy = model.copies.at(-changesLost);
  if (copy === undefined) return;
  if (copy.takenAt < model.now - copyAgeMillisecondsMaximum) return;
  model.copies = model.copies.slice(0, -changesLost);
  model.items = new Map(copy.items);
  model.revision = copy.revision;
  model.era += 1;
}

function readAll(model: Model): void {
  const { era, revision, view, now } = model;
  const items = [...model.items.values()];
  applySourceReading(view, { items, era, revision }, { complete: true, now });
}

function createRulesValue(version: number): SourceValue {
  return { kind: SourceValueKind.Rules, rules: createSampleRules({ version }) };
}

function createServerValue(change: Partial<RegisterEntry>): SourceValue {
  const entry = createSampleEntry({ zone, ...change });
  return { kind: SourceValueKind.BackendServer, entry };
}

function writeDrainingServer(model: Model): void {
  const availability = BackendServerAvailability.Draining;
  write(
    model,
    "a",
    createServerValue({ identifier: "a", sequence: 5, availability }),
  );
}

const zoneTakenOut: SourceValue = { kind: SourceValueKind.ZoneTakenOut, zone };

function mayReceiveCalls(model: Model, identifier: string): boolean {
  const record = model.view.register.get(identifier);
  return record !== undefined &&
    record.entry.availability === BackendServerAvailability.Ready &&
    !isRemovalConfirmed(record, model.now);
}

test("a backend server that was draining stays so when the source comes back from a copy in which it was ready", (t) => {
  const model = createModel();
  write(model, "a", createServerValue({ identifier: "a", sequence: 4 }));
  readAll(model);
  writeDrainingServer(model);
  readAll(model);
  restoreCopy(model, 1);
  readAll(model);
  t.false(mayReceiveCalls(model, "a"));
});

test("a backend server that had left stays left when a copy still lists it", (t) => {
  const model = createModel();
  write(model, "a", createServerValue({ identifier: "a", sequence: 4 }));
  readAll(model);
  write(model, "a", undefined);
  readAll(model);
  t.false(mayReceiveCalls(model, "a"));
  restoreCopy(model, 1);
  readAll(model);
  t.false(mayReceiveCalls(model, "a"));
});

test("changes after the return are applied although their revisions are lower than those before it", (t) => {
  const model = createModel();
  write(model, "a", createServerValue({ identifier: "a", sequence: 4 }));
  Array.from({ length: 20 }).forEach((_, index) =>
    write(model, rulesKey, createRulesValue(index + 1))
  );
  readAll(model);
  restoreCopy(model, 20);
  writeDrainingServer(model);
  readAll(model);
  t.false(mayReceiveCalls(model, "a"));
});

test("a backend server that the copy lacks keeps its work until its heartbeat had time to list it again", (t) => {
  const model = createModel();
  write(model, rulesKey, createRulesValue(1));
  write(model, "a", createServerValue({ identifier: "a", sequence: 1 }));
  readAll(model);
  restoreCopy(model, 1);
  readAll(model);
  t.true(mayReceiveCalls(model, "a"));
  model.now += 3_000;
  t.false(mayReceiveCalls(model, "a"));
});

test("a zone taken out stays out while the operators write that again, and returns if they do not", (t) => {
  const model = createModel();
  write(model, rulesKey, createRulesValue(1));
  write(model, zoneKey, zoneTakenOut);
  readAll(model);
  restoreCopy(model, 1);
  readAll(model);
  t.true(model.view.zonesTakenOut.has(zone));
  model.now += settleMilliseconds;
  readAll(model);
  t.false(model.view.zonesTakenOut.has(zone));
});
