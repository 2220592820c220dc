import test from "ava";
import fc from "fast-check";
import { getQuotaLimits } from "./get_quota_limits.ts";
import { tokenLifetimeMilliseconds } from "./token_lifetime_milliseconds.ts";

const reducedGranters = 3;
/** Time in which an unused reduced bucket fills. */
const fillMilliseconds = 1_000;
/** Of sums of fractions. */
const roundingCalls = 1e-6;

// Guards against an excess that operators set lower than what the tokens that
// are granted before a window add to it.
test("an owner and three reduced granters stay within the bound of any setting", (t) => {
  const settings = fc.record({
    callsPerSecond: fc.integer({ min: 1, max: 500 }),
    burstCalls: fc.integer({ min: 0, max: 500 }),
    windowMilliseconds: fc.integer({ min: 1_000, max: 10_000 }),
    excessRatio: fc.constantFrom(0, 0.01, 0.05, 0.25, 0.5),
    slackCalls: fc.constantFrom(0, 5, 20),
  });
  fc.assert(
    fc.property(settings, ({ callsPerSecond, burstCalls, ...bounds }) => {
      const organisation = {
        name: "org",
        keyHashes: [],
        priority: undefined,
        callsPerSecond,
        burstCalls,
      };
      const limits = getQuotaLimits(organisation, bounds);
      const { windowMilliseconds, excessRatio, slackCalls } = bounds;
      const quota = callsPerSecond * windowMilliseconds / 1_000 + burstCalls;
      const seconds = (windowMilliseconds + tokenLifetimeMilliseconds) / 1_000;
      const granted = limits.callsPerSecond * seconds + limits.capacityCalls;
      const reduced = reducedGranters * limits.reducedCallsPerSecond *
        (seconds + fillMilliseconds / 1_000);
      const callsMaximum = quota * (1 + excessRatio) + slackCalls;
      // A bucket of one token is all that a bound of one call allows.
      return (limits.callsPerSecond > 0 || callsMaximum <= 1) &&
        granted + reduced <= callsMaximum + roundingCalls;
    }),
    { numRuns: 2_000, seed: 1 },
  );
  t.pass();
});

test("an excess that covers the lifetime of tokens leaves the whole rate", (t) => {
  const organisation = {
    name: "org",
    keyHashes: [],
    priority: undefined,
    callsPerSecond: 194,
    burstCalls: 194,
  };
  const bounds = {
    windowMilliseconds: 5_000,
    excessRatio: 0.25,
    slackCalls: 20,
  };
  t.is(getQuotaLimits(organisation, bounds).callsPerSecond, 194);
});
