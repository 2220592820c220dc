import test from "ava";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { BackendServerAvailability } from "../register/backend_server_availability.ts";
import type { RegisterRecord } from "../register/register_record.ts";
import { createSampleEntry } from "../testing/mesh/create_sample_entry.ts";
import { getStandingRefusal } from "./get_standing_refusal.ts";
import type { OwnServerStanding } from "./own_server_standing.ts";

const now = 1_000_000;

function createRecord(
  change: Partial<RegisterRecord["entry"]> = {},
  vanishedAt = 0,
): RegisterRecord {
  return {
    entry: createSampleEntry(change),
    vanishedAt,
  };
}

function judge(change: Partial<OwnServerStanding>): RefusalReason | undefined {
  return getStandingRefusal({
    record: createRecord(),
    zoneTakenOut: false,
    stopping: false,
    sourceSoundSince: now - 60_000,
    probedIdentifier: undefined,
    ...change,
  }, now);
}

test("a registered and ready backend server gets work", (t) => {
  t.is(judge({}), undefined);
});

test("draining, a zone taken out and a stopping node close the gate", (t) => {
  const record = createRecord({
    availability: BackendServerAvailability.Draining,
  });
  t.is(judge({ record }), RefusalReason.BackendServerDraining);
  t.is(judge({ zoneTakenOut: true }), RefusalReason.ZoneTakenOut);
  t.is(judge({ stopping: true }), RefusalReason.NodeDraining);
});

test("a removed entry closes the gate while the source is sound", (t) => {
  const record = createRecord({}, now - 10);
  t.is(judge({ record }), RefusalReason.BackendServerLeaving);
});

test("outage of the source: a removed entry is doubted until the live ones are listed again", (t) => {
  const record = createRecord({}, now - 10);
  t.is(
    judge({ record, sourceSoundSince: Number.POSITIVE_INFINITY }),
    undefined,
  );
  t.is(judge({ record, sourceSoundSince: now - 1_000 }), undefined);
  t.is(
    judge({ record, sourceSoundSince: now - 2_500 }),
    RefusalReason.BackendServerLeaving,
  );
});

test("a backend server that nobody registered gets work only once it named itself", (t) => {
  t.is(judge({ record: undefined }), RefusalReason.BackendServerUnknown);
  t.is(judge({ record: undefined, probedIdentifier: "i-1" }), undefined);
});
