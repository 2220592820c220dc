import test from "ava";
import fc from "fast-check";
import { createSampleRoute } from "../testing/mesh/create_sample_route.ts";
import { createRulesChange } from "./create_rules_change.ts";
import type { Rules } from "./rules.ts";
import { tryApplyRulesChange } from "./try_apply_rules_change.ts";

/** Routes by name with a priority each. */
type Plan = Readonly<Record<string, number>>;

function createRules(version: number, plan: Plan): Rules {
  return {
    version,
    routes: Object.entries(plan).map(([name, priority]) =>
      createSampleRoute({ name, pathPrefix: `/${name}/`, priority })
    ),
    services: new Map([["vitrine", {
      name: "vitrine",
      healthPath: "/health",
      connectionsMaximum: version,
      coldMilliseconds: 500,
      coldCallsPerSecond: 14,
    }]]),
    limits: {
      headerBytesMaximum: 1,
      bodyBytesMaximum: 2,
      headerMilliseconds: 3,
      idleMilliseconds: version,
    },
  };
}

function sortRoutes(rules: Rules | undefined) {
  return rules && {
    ...rules,
    routes: rules.routes.toSorted((left, right) =>
      left.name < right.name ? -1 : 1
    ),
  };
}

const planArbitrary = fc.dictionary(
  fc.constantFrom("cakes", "orders", "slots", "ledger"),
  fc.nat({ max: 2 }),
);

test("a change leads from one version to the next, whatever differs", (t) => {
  fc.assert(fc.property(planArbitrary, planArbitrary, (first, second) => {
    const before = createRules(1, first);
    const after = createRules(2, second);
    const change = JSON.parse(JSON.stringify(createRulesChange(before, after)));
    t.deepEqual(
      sortRoutes(tryApplyRulesChange(before, change)),
      sortRoutes(after),
    );
  }));
});

test("only what differs is told", (t) => {
  const change = createRulesChange(
    createRules(1, { cakes: 1, orders: 1, slots: 1 }),
    createRules(2, { cakes: 1, orders: 2, ledger: 1 }),
  );
  t.deepEqual(change.routes.map(({ name }) => name), ["orders", "ledger"]);
  t.deepEqual(change.removedRoutes, ["slots"]);
});

test("a change of another version is not applied, not even in part", (t) => {
  const change = createRulesChange(
    createRules(3, { cakes: 1 }),
    createRules(4, { cakes: 2 }),
  );
  t.is(tryApplyRulesChange(createRules(2, { cakes: 1 }), change), undefined);
  t.is(tryApplyRulesChange(undefined, change), undefined);
});

test("the first version is told as a whole", (t) => {
  const rules = createRules(1, { cakes: 1 });
  const change = createRulesChange(undefined, rules);
  t.deepEqual(tryApplyRulesChange(undefined, change), rules);
  t.deepEqual(
    tryApplyRulesChange(createRules(0, { slots: 1 }), change),
    rules,
  );
});
