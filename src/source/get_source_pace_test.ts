import test from "ava";
import { getSourcePace } from "./get_source_pace.ts";

/** A slow store answers within a quarter of a second. */
const slowAnswerMilliseconds = 250;
/** After this time without an answer a watch is given up on. */
const watchAnswerMilliseconds = 600;

[
  { changeMilliseconds: 2_000, contactMilliseconds: 3_000 },
  { changeMilliseconds: 2_500, contactMilliseconds: 3_000 },
  { changeMilliseconds: 1_000, contactMilliseconds: 2_000 },
].forEach((bounds) =>
  test(`a change is in force in time, with ${bounds.changeMilliseconds} and ${bounds.contactMilliseconds} ms`, (t) => {
    const pace = getSourcePace(bounds);
    t.true(
      pace.intervalMilliseconds + slowAnswerMilliseconds <
        bounds.changeMilliseconds,
    );
    t.true(
      pace.watchMilliseconds + watchAnswerMilliseconds +
          slowAnswerMilliseconds <= bounds.contactMilliseconds,
    );
  })
);

test("more time until a change must be in force means fewer reads", (t) => {
  const calm = getSourcePace({
    changeMilliseconds: 2_500,
    contactMilliseconds: 3_000,
  });
  const strict = getSourcePace({
    changeMilliseconds: 2_000,
    contactMilliseconds: 3_000,
  });
  t.true(calm.intervalMilliseconds > strict.intervalMilliseconds);
});
