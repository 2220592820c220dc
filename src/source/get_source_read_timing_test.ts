import test from "ava";
import { getSourceReadTiming } from "./get_source_read_timing.ts";

/** Longest response time of a slow store. */
const slowResponseMilliseconds = 250;
/** Time after its wait at which an unanswered watch times out. */
const watchGraceMilliseconds = 600;

[
  { changeMilliseconds: 2_000, contactMilliseconds: 3_000 },
  { changeMilliseconds: 2_500, contactMilliseconds: 3_000 },
  { changeMilliseconds: 1_000, contactMilliseconds: 2_000 },
].forEach((bounds) =>
  test(`the read timing keeps bounds of ${bounds.changeMilliseconds} and ${bounds.contactMilliseconds} ms`, (t) => {
    const timing = getSourceReadTiming(bounds);
    t.true(
      timing.intervalMilliseconds + slowResponseMilliseconds <
        bounds.changeMilliseconds,
    );
    t.true(
      timing.watchMilliseconds + watchGraceMilliseconds +
          slowResponseMilliseconds <= bounds.contactMilliseconds,
    );
  })
);

test("a longer change bound means fewer reads", (t) => {
  const relaxed = getSourceReadTiming({
    changeMilliseconds: 2_500,
    contactMilliseconds: 3_000,
  });
  const strict = getSourceReadTiming({
    changeMilliseconds: 2_000,
    contactMilliseconds: 3_000,
  });
  t.true(relaxed.intervalMilliseconds > strict.intervalMilliseconds);
});

test("a bound on withdrawn keys makes watches as short as the age of the rules needs, and no longer bound changes them", (t) => {
  const bounds = { changeMilliseconds: 2_500, contactMilliseconds: 3_000 };
  const timing = getSourceReadTiming({
    ...bounds,
    withdrawalMilliseconds: 5_000,
  });
  // Only the start of a watch confirms the rules.
  const ageMaximum = 2 * (timing.watchMilliseconds + slowResponseMilliseconds) +
    timing.intervalMilliseconds;
  t.true(ageMaximum < 5_000 * 0.9);
  t.deepEqual(
    getSourceReadTiming({ ...bounds, withdrawalMilliseconds: 60_000 }),
    getSourceReadTiming(bounds),
  );
});
