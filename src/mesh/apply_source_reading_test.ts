import test from "ava";
import fc from "fast-check";
import { BackendServerAvailability } from "../register/backend_server_availability.ts";
import { isRemovalConfirmed } from "../register/is_removal_confirmed.ts";
import type { RegisterEntry } from "../register/register_entry.ts";
import type { SourceValue } from "../source/source_value.ts";
import { SourceValueKind } from "../source/source_value_kind.ts";
import { createSampleEntry } from "../testing/mesh/create_sample_entry.ts";
import { createSampleRules } from "../testing/mesh/create_sample_rules.ts";
import { applySourceReading } from "./apply_source_reading.ts";
import { createMeshView } from "./create_mesh_view.ts";
import type { MeshView } from "./mesh_view.ts";
import { ViewChangeKind } from "./view_change_kind.ts";

const now = 1_000_000;

function apply(
  view: MeshView,
  facts: readonly (readonly [string, number, SourceValue | undefined])[],
  complete = false,
  { era = 0, at = now } = {},
): readonly ViewChangeKind[] {
  const items = facts.map(([key, revision, fact]) => ({ key, revision, fact }));
  const revision = Math.max(0, ...items.map((item) => item.revision));
  return applySourceReading(view, { items, era, revision }, {
    complete,
    now: at,
  })
    .map(({ kind }) => kind);
}

const createRulesValue = (version: number): SourceValue => ({
  kind: SourceValueKind.Rules,
  rules: createSampleRules({ version }),
});
const createServerValue = (
  change: Partial<RegisterEntry> = {},
): SourceValue => ({
  kind: SourceValueKind.BackendServer,
  entry: createSampleEntry(change),
});

test("the version of the rules never decreases, whatever the order of readings", (t) => {
  fc.assert(fc.property(
    fc.array(fc.tuple(fc.nat(50), fc.nat(50)), { maxLength: 30 }),
    (writes) => {
      const view = createMeshView();
      let highest = -1;
      return writes.every(([revision, version]) => {
        apply(view, [["rules", revision, createRulesValue(version)]]);
        const inForce = view.rules?.version ?? -1;
        const isMonotonic = inForce >= highest;
        highest = inForce;
        return isMonotonic;
      });
    },
  ));
  t.pass();
});

test("an older revision of a key is ignored", (t) => {
  const view = createMeshView();
  apply(view, [["servers/i-1", 9, createServerValue()]]);
  apply(view, [["servers/i-1", 8, undefined]]);
  t.is(view.register.get("i-1")?.removedAt, 0);
});

test("a heartbeat that arrives out of order does not restore an older state", (t) => {
  const view = createMeshView();
  const availability = BackendServerAvailability.Draining;
  apply(view, [[
    "servers/i-1",
    9,
    createServerValue({ availability, sequence: 7 }),
  ]]);
  apply(view, [["servers/i-1", 10, createServerValue({ sequence: 6 })]]);
  t.is(view.register.get("i-1")?.entry.availability, availability);
});

test("a new incarnation with the same identifier does not keep the state of the old one", (t) => {
  const view = createMeshView();
  const availability = BackendServerAvailability.Draining;
  apply(view, [[
    "servers/i-1",
    9,
    createServerValue({ availability, sequence: 7 }),
  ]]);
  const changes = apply(view, [
    ["servers/i-1", 10, createServerValue({ sequence: 1, bornAt: 99 })],
  ]);
  t.is(
    view.register.get("i-1")?.entry.availability,
    BackendServerAvailability.Ready,
  );
  t.deepEqual(changes, [ViewChangeKind.BackendServerAdded]);
});

test("lost history: keys that a complete reading lacks count as removed", (t) => {
  const view = createMeshView();
  apply(view, [
    ["servers/i-1", 2, createServerValue()],
    ["zones/sul-b", 3, { kind: SourceValueKind.ZoneTakenOut, zone: "sul-b" }],
  ]);
  const changes = apply(view, [["rules", 9, createRulesValue(1)]], true);
  t.is(view.register.get("i-1")?.removedAt, now);
  t.is(view.zonesTakenOut.size, 0);
  t.deepEqual(
    [...changes].sort(),
    [
      ViewChangeKind.BackendServerRemoved,
      ViewChangeKind.RulesInForce,
      ViewChangeKind.ZoneReturned,
    ].sort(),
  );
});

test("an item of another writer registers no backend server, and the other entries stay", (t) => {
  const view = createMeshView();
  apply(view, [
    ["servers/i-1", 2, createServerValue()],
    ["servers/i-2", 3, { kind: SourceValueKind.Foreign, found: "no JSON" }],
  ]);
  t.deepEqual(Array.from(view.register.keys()), ["i-1"]);
});

test("an address that another service has taken over belongs to its new backend server only", (t) => {
  const view = createMeshView();
  apply(view, [["servers/i-1", 2, createServerValue()]]);
  apply(view, [["servers/i-1", 3, undefined]]);
  apply(view, [
    [
      "servers/i-9",
      4,
      createServerValue({ identifier: "i-9", service: "repasses" }),
    ],
  ]);
  const current = Array.from(view.register.values())
    .filter((record) => !isRemovalConfirmed(record, now));
  t.deepEqual(current.map(({ entry }) => entry.identifier), ["i-9"]);
});
