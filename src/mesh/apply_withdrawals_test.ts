import test from "ava";
import { BackendServerAvailability } from "../register/backend_server_availability.ts";
import { isRemovalConfirmed } from "../register/is_removal_confirmed.ts";
import type { RegisterEntry } from "../register/register_entry.ts";
import type { FeedItem } from "../source/feed_item.ts";
import { SourceValueKind } from "../source/source_value_kind.ts";
import { createSampleEntry } from "../testing/mesh/create_sample_entry.ts";
import { applySourceReading } from "./apply_source_reading.ts";
import { applyWithdrawals } from "./apply_withdrawals.ts";
import { createMeshView } from "./create_mesh_view.ts";

const now = 1_000_000;
const identifier = "server";
const nothing = { items: [], removed: [], zonesHeldMilliseconds: 0 };

function createView(change: Partial<RegisterEntry>) {
  const view = createMeshView();
  const entry = createSampleEntry({ identifier, bornAt: 1, ...change });
  const fact = { kind: SourceValueKind.BackendServer, entry } as const;
  applySourceReading(view, {
    items: [{ key: "server", revision: 1, fact }],
    era: 1,
    revision: 1,
  }, { complete: true, now });
  return view;
}

function createItem(change: Partial<RegisterEntry>): FeedItem {
  const { coldUntil: _, ...entry } = createSampleEntry({
    identifier,
    bornAt: 1,
    ...change,
  });
  const kind = SourceValueKind.BackendServer;
  return {
    key: "server",
    revision: 0,
    fact: { kind, entry, coldMilliseconds: 0 },
  };
}

// Guards against work for a backend server that had left, or was leaving, when
// the source came back from an older copy.
test("an entry of the copy is withdrawn as the neighbour knows it", (t) => {
  const removedView = createView({ sequence: 3 });
  const removed = [createItem({ sequence: 5 })];
  applyWithdrawals(removedView, { ...nothing, removed }, { now });
  t.true(isRemovalConfirmed(removedView.register.get(identifier)!, now));
  const drainingView = createView({ sequence: 3 });
  const availability = BackendServerAvailability.Draining;
  const items = [createItem({ sequence: 5, availability })];
  applyWithdrawals(drainingView, { ...nothing, items }, { now });
  t.is(
    drainingView.register.get(identifier)?.entry.availability,
    availability,
  );
});

// Guards against a neighbour that takes out what has come back since.
test("a later heartbeat, and a later incarnation, stay in use", (t) => {
  [{ sequence: 6 }, { bornAt: 2, sequence: 1 }].forEach((change) => {
    const view = createView(change);
    const removed = [createItem({ sequence: 5 })];
    applyWithdrawals(view, { ...nothing, removed }, { now });
    t.false(isRemovalConfirmed(view.register.get(identifier)!, now));
  });
});
