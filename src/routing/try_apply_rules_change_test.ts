import test from "ava";
import fc from "fast-check";
import { createSampleRoute } from "../testing/mesh/create_sample_route.ts";
import { createSampleRules } from "../testing/mesh/create_sample_rules.ts";
import type { Organisation } from "../organisations/organisation.ts";
import { createRulesChange } from "./create_rules_change.ts";
import type { Rules } from "./rules.ts";
import { tryApplyRulesChange } from "./try_apply_rules_change.ts";

/** The priorities of the routes, by route name. */
type RoutePriorities = Readonly<Record<string, number>>;

function createRules(version: number, priorities: RoutePriorities): Rules {
  return createSampleRules({
    version,
    routes: Object.entries(priorities).map(([name, priority]) =>
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
  });
}

function sortRoutes(rules: Rules | undefined) {
  return rules && {
    ...rules,
    routes: rules.routes.toSorted((left, right) =>
      left.name < right.name ? -1 : 1
    ),
  };
}

const prioritiesArbitrary = fc.dictionary(
  fc.constantFrom("cakes", "orders", "slots", "ledger"),
  fc.nat({ max: 2 }),
);

test("a change applied to its version results in the next version, whatever differs", (t) => {
  fc.assert(
    fc.property(prioritiesArbitrary, prioritiesArbitrary, (first, second) => {
      const before = createRules(1, first);
      const after = createRules(2, second);
      const change = JSON.parse(
        JSON.stringify(createRulesChange(before, after)),
      );
      t.deepEqual(
        sortRoutes(tryApplyRulesChange(before, change)),
        sortRoutes(after),
      );
    }),
  );
});

test("a change contains only the routes that differ", (t) => {
  const change = createRulesChange(
    createRules(1, { cakes: 1, orders: 1, slots: 1 }),
    createRules(2, { cakes: 1, orders: 2, ledger: 1 }),
  );
  t.deepEqual(change.routes.map(({ name }) => name), ["orders", "ledger"]);
  t.deepEqual(change.removedRoutes, ["slots"]);
});

function createOrganisation(
  name: string,
  callsPerSecond: number,
): Organisation {
  const keyHashes = [`hash-of-${name}`];
  return {
    name,
    keyHashes,
    priority: undefined,
    callsPerSecond,
    burstCalls: 5,
  };
}

function createOrganisationRules(
  version: number,
  rates: Readonly<Record<string, number>>,
): Rules {
  const organisations = Object.entries(rates).map(([name, rate]) =>
    [name, createOrganisation(name, rate)] as const
  );
  return createSampleRules({
    version,
    organisations: new Map(organisations),
  });
}

test("a change contains only the organisations that differ, and applies to the rest", (t) => {
  const before = createOrganisationRules(1, {
    bakery: 10,
    hotel: 20,
    school: 5,
  });
  const after = createOrganisationRules(2, { bakery: 10, hotel: 8, market: 3 });
  const change = createRulesChange(before, after);
  t.deepEqual(
    change.organisations.map(({ name }) => name),
    ["hotel", "market"],
  );
  t.deepEqual(change.removedOrganisations, ["school"]);
  t.deepEqual(tryApplyRulesChange(before, change), after);
});

test("a change of another version is not applied, not even in part", (t) => {
  const change = createRulesChange(
    createRules(3, { cakes: 1 }),
    createRules(4, { cakes: 2 }),
  );
  t.is(tryApplyRulesChange(createRules(2, { cakes: 1 }), change), undefined);
  t.is(tryApplyRulesChange(undefined, change), undefined);
});

test("a change without an earlier version contains the whole version", (t) => {
  const rules = createRules(1, { cakes: 1 });
  const change = createRulesChange(undefined, rules);
  t.deepEqual(tryApplyRulesChange(undefined, change), rules);
  t.deepEqual(
    tryApplyRulesChange(createRules(0, { slots: 1 }), change),
    rules,
  );
});
