import test from "ava";
import { createSampleEntry } from "../testing/mesh/create_sample_entry.ts";
import type { Departures } from "./departures.ts";
import { hasDeparted } from "./has_departed.ts";
import { recordDeparture } from "./record_departure.ts";

const identifier = "server";
const first = createSampleEntry({ identifier, bornAt: 1_000 });
const second = createSampleEntry({ identifier, bornAt: 2_000 });

// Guards against new calls for a backend server that is about to leave, and
// against none for the one that starts after it.
test("a departure holds for its incarnation, not for a later one of the same identifier", (t) => {
  const departures: Departures = new Map();
  recordDeparture(departures, { entry: first, departure: { identifier } });
  t.true(hasDeparted(departures, first));
  t.false(hasDeparted(departures, second));
});

// Guards against a departed backend server that takes its successor with it.
test("a reply about the incarnation before does not take out the one that is listed", (t) => {
  const departures: Departures = new Map();
  const earlier = { identifier, bornAt: first.bornAt };
  recordDeparture(departures, { entry: second, departure: earlier });
  recordDeparture(departures, {
    entry: second,
    departure: { identifier: "predecessor" },
  });
  t.false(hasDeparted(departures, second));
});

test("the number of departures that are kept is bounded", (t) => {
  const departures: Departures = new Map();
  Array.from({ length: 5_000 }, (_, index) => {
    const entry = createSampleEntry({ identifier: `server-${index}` });
    const departure = { identifier: entry.identifier };
    recordDeparture(departures, { entry, departure });
  });
  t.true(departures.size <= 2_000);
  t.true(
    hasDeparted(departures, createSampleEntry({ identifier: "server-4999" })),
  );
});
