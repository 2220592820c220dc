import test from "ava";
import { BackendServerAvailability } from "../register/backend_server_availability.ts";
import type { RegisterEntry } from "../register/register_entry.ts";
import type { SourceValue } from "../source/source_value.ts";
import { SourceValueKind } from "../source/source_value_kind.ts";
import { createOfflineNode } from "../testing/mesh/create_offline_node.ts";
import { createSampleEntry } from "../testing/mesh/create_sample_entry.ts";
import { createVirtualTime } from "../testing/create_virtual_time.ts";
import { applySourceReading } from "./apply_source_reading.ts";
import { getServiceCandidates } from "./get_service_candidates.ts";
import { listCandidates } from "./list_candidates.ts";
import { setSourceAvailableSince } from "./set_source_available_since.ts";

const startedAt = 1_000_000;
const service = "vitrine";

function createCase() {
  const time = createVirtualTime(startedAt);
  const node = createOfflineNode(time);
  setSourceAvailableSince(node.view, {
    sourceAvailableSince: startedAt,
    now: startedAt,
  });
  let revision = 0;
  const write = (key: string, fact: SourceValue | undefined) => {
    revision += 1;
    applySourceReading(node.view, {
      era: 0,
      revision,
      items: [{ key, revision, fact }],
    }, { complete: false, now: time.clock.now() });
  };
  const put = (change: Partial<RegisterEntry>) => {
    const entry = createSampleEntry(change);
    write(entry.identifier, { kind: SourceValueKind.BackendServer, entry });
  };
  const far = { identifier: "i-2", address: { host: "10.0.0.2", port: 8301 } };
  put({ identifier: "i-1" });
  put(far);
  const get = () => getServiceCandidates(node, service);
  const list = () =>
    listCandidates(node, service).map(({ entry }) => entry.identifier);
  return { time, node, write, put, far, get, list };
}

test("heartbeats do not cause the candidates of a service to be listed again", (t) => {
  const { put, get, far } = createCase();
  const before = get();
  put({ ...far, sequence: 4 });
  put({ ...far, sequence: 5 });
  t.is(get(), before);
});

test("a backend server that begins to drain, or joins, changes the candidates at once", (t) => {
  const { put, list, far } = createCase();
  t.deepEqual(list(), ["i-1", "i-2"]);
  put({
    ...far,
    sequence: 4,
    availability: BackendServerAvailability.Draining,
  });
  t.deepEqual(list(), ["i-1"]);
  put({ identifier: "i-3", address: { host: "10.0.0.3", port: 8301 } });
  t.deepEqual(list(), ["i-1", "i-3"]);
});

test("a zone that is taken out and returns changes the candidates at once", (t) => {
  const { write, list } = createCase();
  t.is(list().length, 2);
  write("zone", { kind: SourceValueKind.ZoneTakenOut, zone: "sul-a" });
  t.deepEqual(list(), []);
  write("zone", undefined);
  t.is(list().length, 2);
});

test("a removal counts when it is confirmed by time alone", async (t) => {
  const { time, node, write, get, list } = createCase();
  write("i-2", undefined);
  t.true(get().byIdentifier.get("i-2")?.isRemoved);
  const confirmedAt = node.view.register.get("i-2")!.removalConfirmedAt;
  await time.advanceTo(confirmedAt);
  t.deepEqual(list(), ["i-1"]);
});

test("a backend server that stated to leave is no candidate from then on", (t) => {
  const { node, list } = createCase();
  t.is(list().length, 2);
  node.departures.set("i-2", 5);
  t.deepEqual(list(), ["i-1"]);
});

test("a backend server that started again under another identifier: the newest one at the address is the own one", (t) => {
  const { put, get } = createCase();
  put({ identifier: "i-3", bornAt: createSampleEntry({}).bornAt + 1_000 });
  t.is(get().own?.entry.identifier, "i-3");
});
