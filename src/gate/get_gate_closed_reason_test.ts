import test from "ava";
import { HolderKind } from "../address_holder/holder_kind.ts";
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
    removalConfirmedAt: removedAt > 0 ? removedAt : Number.POSITIVE_INFINITY,
  };
}

function getReason(
  change: Partial<OwnServerStatus>,
): RefusalReason | undefined {
  return getGateClosedReason({
    record: createRecord(),
    zoneTakenOut: false,
    departure: undefined,
    isLearningWithdrawals: false,
    stopping: false,
    holder: HolderKind.Own,
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

// Guards against new calls for a backend server that is about to leave, and
// against none for the one that takes its place.
test("a stated departure closes the gate until the register lists another incarnation", (t) => {
  const departure = { identifier: createRecord().entry.identifier };
  const reason = RefusalReason.BackendServerLeaving;
  t.is(getReason({ departure }), reason);
  t.is(getReason({ departure, record: undefined }), reason);
  const record = createRecord({ identifier: "successor" });
  t.is(getReason({ departure, record }), undefined);
});

test("a removed entry closes the gate once the removal counts", (t) => {
  const record = createRecord({}, now - 10);
  t.is(getReason({ record }), RefusalReason.BackendServerLeaving);
  const doubtful = { ...record, removalConfirmedAt: now + 1 };
  t.is(getReason({ record: doubtful }), undefined);
});

test("an unregistered backend server gets calls only if it is known to belong to the service", (t) => {
  const { Own, Unseen, Foreign, Unlisted } = HolderKind;
  const getUnregisteredReason = (holder: HolderKind) =>
    getReason({ record: undefined, holder });
  t.is(getUnregisteredReason(Own), undefined);
  [Unseen, Foreign, Unlisted].forEach((holder) =>
    t.is(getUnregisteredReason(holder), RefusalReason.BackendServerUnknown)
  );
});

// Guards against calls for the backend server of another service that has the
// address of a registered one.
test("a registered backend server gets no calls while another one that may be of another service is at its address", (t) => {
  const { Own, Unseen, Foreign, Unlisted } = HolderKind;
  [Own, Unseen].forEach((holder) => t.is(getReason({ holder }), undefined));
  [Foreign, Unlisted].forEach((holder) =>
    t.is(getReason({ holder }), RefusalReason.BackendServerUnknown)
  );
});
