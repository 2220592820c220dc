import test from "ava";
import { isNotReceivedForCertain } from "./is_not_received_for_certain.ts";
import { OfferCheckKind } from "./offer_check_kind.ts";
import { OfferStatus } from "./offer_status.ts";

const offeredAt = 1_000_000;

function isCertain(options: {
  readonly recordedMilliseconds?: number;
  readonly elapsedMilliseconds?: number;
  readonly status?: OfferStatus;
}): boolean {
  const { status = OfferStatus.NotReceived, recordedMilliseconds } = options;
  return isNotReceivedForCertain(
    {
      kind: OfferCheckKind.Status,
      status,
      ...(recordedMilliseconds === undefined ? {} : { recordedMilliseconds }),
    },
    { offeredAt, now: offeredAt + (options.elapsedMilliseconds ?? 520) },
  );
}

test("an offer has certainly not arrived at a process that recorded offers since before it was made", (t) => {
  t.true(isCertain({ recordedMilliseconds: 60_000 }));
  t.true(isCertain({ recordedMilliseconds: 700 }));
});

// Guards against a refusal as not run of a call that the earlier process ran.
test("a process that restarted since the offer, or by less than the tolerance before it, cannot know", (t) => {
  t.false(isCertain({ recordedMilliseconds: 100 }));
  t.false(isCertain({ recordedMilliseconds: 600 }));
});

// Guards against a process that has forgotten an offer that it ran.
test("a statement long after the offer is not certain", (t) => {
  const recordedMilliseconds = 60_000;
  t.true(isCertain({ recordedMilliseconds, elapsedMilliseconds: 4_900 }));
  t.false(isCertain({ recordedMilliseconds, elapsedMilliseconds: 5_000 }));
});

test("a node of an earlier version, and an offer that arrived, give no certainty", (t) => {
  t.false(isCertain({}));
  const recordedMilliseconds = 60_000;
  t.false(isCertain({ recordedMilliseconds, status: OfferStatus.Held }));
  t.false(isCertain({ recordedMilliseconds, status: OfferStatus.Ended }));
  t.false(
    isNotReceivedForCertain({ kind: OfferCheckKind.NoReply }, {
      offeredAt,
      now: offeredAt + 520,
    }),
  );
});
