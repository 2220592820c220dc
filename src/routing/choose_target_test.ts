import test from "ava";
import fc from "fast-check";
import { groupBy } from "../collections/group_by.ts";
import { CallKind } from "./call_kind.ts";
import type { CallRoute } from "./call_route.ts";
import { chooseTarget } from "./choose_target.ts";
import type { SplitState } from "./split_state.ts";

const requests = 300;
/** The largest deviation of a target's share from its weight that the users accept. */
const shareTolerance = 0.1;

function createRoute(weights: readonly number[]): CallRoute {
  return {
    name: "split",
    host: "shop.example",
    pathPrefix: "/",
    kind: CallKind.Idempotent,
    attemptsMaximum: 2,
    timeoutMilliseconds: 1_000,
    goalMilliseconds: 400,
    priority: 2,
    isPublic: false,
    targets: weights.map((weight, index) => ({
      service: `service-${index}`,
      weight,
    })),
  };
}

test("each target gets its share of any 300 calls", (t) => {
  fc.assert(fc.property(
    fc.array(fc.integer({ min: 1, max: 100 }), { minLength: 1, maxLength: 4 }),
    fc.integer({ min: 0, max: 50 }),
    (weights, skipped) => {
      const route = createRoute(weights);
      const state: SplitState = new Map();
      Array.from({ length: skipped }, () => chooseTarget(route, state));
      const chosen = Array.from(
        { length: requests },
        () => chooseTarget(route, state),
      );
      const counts = groupBy(chosen, (service) => service);
      const totalWeight = weights.reduce((sum, weight) => sum + weight, 0);
      return route.targets.every(({ service, weight }) =>
        Math.abs(
          (counts.get(service)?.length ?? 0) / requests - weight / totalWeight,
        ) <= shareTolerance
      );
    },
  ));
  t.pass();
});

test("a target of weight 0 gets no calls", (t) => {
  const route = createRoute([0, 5]);
  const state: SplitState = new Map();
  const chosen = Array.from({ length: 20 }, () => chooseTarget(route, state));
  t.true(chosen.every((service) => service === "service-1"));
});

/** Weights of 0 to 9, one of them above 0, times a power of ten: only proportions count. */
const weightsOfAnyScale = fc.tuple(
  fc.array(fc.integer({ min: 0, max: 9 }), { minLength: 2, maxLength: 4 })
    .filter((weights) => weights.some((weight) => weight > 0)),
  fc.integer({ min: 0, max: 4 }),
).map(([weights, exponent]) =>
  weights.map((weight) => weight * 10 ** exponent)
);

// Guards against a part that gets no calls for thousands of calls after a change
// of the weights: its credits had been collected on another scale.
test("each target gets its share right after any change of the weights, and none with weight 0", (t) => {
  fc.assert(fc.property(
    weightsOfAnyScale,
    weightsOfAnyScale,
    fc.integer({ min: 0, max: 300 }),
    (before, weights, earlierCalls) => {
      const state: SplitState = new Map();
      const earlier = createRoute(before);
      Array.from({ length: earlierCalls }, () => chooseTarget(earlier, state));
      const route = createRoute(weights);
      const chosen = Array.from(
        { length: requests },
        () => chooseTarget(route, state),
      );
      const counts = groupBy(chosen, (service) => service);
      const totalWeight = weights.reduce((sum, weight) => sum + weight, 0);
      return route.targets.every(({ service, weight }) => {
        const count = counts.get(service)?.length ?? 0;
        const isOff = Math.abs(count / requests - weight / totalWeight) >
          shareTolerance;
        return !isOff && (weight > 0 || count === 0);
      });
    },
  ));
  t.pass();
});
