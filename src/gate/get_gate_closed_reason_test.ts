import test from "ava";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { BackendServerAvailability } from "../register/backend_server_availability.ts";
import type { RegisterRecord } from "../register/register_record.ts";
import { createSampleEntry } from "../testing/mesh/create_sample_entry.ts";
import { getGateClosedReason } from "./get_gate_closed_reason.ts";
import type { OwnServerStatus } from "./own_server_status.ts";

const now = 1_000_000;

function createRecord(
  change: Partial<RegisterRecord["entry"]> = {},
  removedAt = 0,
): RegisterRecord {
  return {
    entry: createSampleEntry(change),
    removedAt,
  };
}

function getReason(
  change: Partial<OwnServerStatus>,
): RefusalReason | undefined {
  return getGateClosedReason({
    record: createRecord(),
    zoneTakenOut: false,
    stopping: false,
    sourceAvailableSince: now - 60_000,
    probedIdentifier: undefined,
    ...change,
  }, now);
}

test("a registered and ready backend server gets calls", (t) => {
  t.is(getReason({}), undefined);
});

test("draining, a zone taken out and a stopping node close the gate", (t) => {
  const record = createRecord({
    availability: BackendServerAvailability.Draining,
  });
  t.is(getReason({ record }), RefusalReason.BackendServerDraining);
  t.is(getReason({ zoneTakenOut: true }), RefusalReason.ZoneTakenOut);
  t.is(getReason({ stopping: true }), RefusalReason.NodeDraining);
});

test("a removed entry closes the gate while the source responds", (t) => {
  const record = createRecord({}, now - 10);
  t.is(getReason({ record }), RefusalReason.BackendServerLeaving);
});

test("outage of the source: a removed entry has no effect until live entries had time to be listed again", (t) => {
  const record = createRecord({}, now - 10);
  t.is(
    getReason({ record, sourceAvailableSince: Number.POSITIVE_INFINITY }),
    undefined,
  );
  t.is(getReason({ record, sourceAvailableSince: now - 1_000 }), undefined);
  t.is(
    getReason({ record, sourceAvailableSince: now - 2_500 }),
    RefusalReason.BackendServerLeaving,
  );
});

test("an unregistered backend server gets calls only after a probe returned its identifier", (t) => {
  t.is(getReason({ record: undefined }), RefusalReason.BackendServerUnknown);
  t.is(getReason({ record: undefined, probedIdentifier: "i-1" }), undefined);
});
