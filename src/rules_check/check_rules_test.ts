import test from "ava";
import fc from "fast-check";
import type { CallRoute } from "../routing/call_route.ts";
import { chooseTarget } from "../routing/choose_target.ts";
import type { Rules } from "../routing/rules.ts";
import { createSampleRoute } from "../testing/mesh/create_sample_route.ts";
import { createSampleRules } from "../testing/mesh/create_sample_rules.ts";
import { checkRules } from "./check_rules.ts";
import { RulesFindingKind } from "./rules_finding_kind.ts";

const slots = new Map([["vitrine", 12], ["encomendas", 12]]);

function createService(name: string) {
  return [name, {
    name,
    healthPath: "/health",
    connectionsMaximum: 100,
    coldMilliseconds: 500,
    coldCallsPerSecond: 14,
  }] as const;
}

function createValidRoute(name: string, service: string): CallRoute {
  return createSampleRoute({
    name,
    pathPrefix: `/${name}/`,
    timeoutMilliseconds: 1_000,
    goalMilliseconds: 400,
    attemptsMaximum: 2,
    targets: [{ service, weight: 1 }],
  });
}

/** Rules without a finding: a route to each service, further routes, organisations. */
const validRulesArbitrary: fc.Arbitrary<Rules> = fc.record({
  routeCount: fc.integer({ min: 0, max: 5 }),
  rates: fc.array(fc.integer({ min: 0, max: 50 }), { maxLength: 4 }),
  version: fc.integer({ min: 2, max: 1_000 }),
}).map(({ routeCount, rates, version }) =>
  createSampleRules({
    version,
    routes: [
      createValidRoute("cakes", "vitrine"),
      createValidRoute("orders", "encomendas"),
      ...Array.from(
        { length: routeCount },
        (_, index) => createValidRoute(`extra-${index}`, "vitrine"),
      ),
    ],
    services: new Map(["vitrine", "encomendas"].map(createService)),
    limits: {
      headerBytesMaximum: 16_384,
      bodyBytesMaximum: 65_536,
      headerMilliseconds: 3_000,
      idleMilliseconds: 15_000,
    },
    organisations: new Map(rates.map((callsPerSecond, index) => {
      const name = `organisation-${index}`;
      const keyHashes = [`hash-${index}`];
      const priority = undefined;
      return [
        name,
        { name, keyHashes, priority, callsPerSecond, burstCalls: 5 },
      ];
    })),
  })
);

/** Replaces fields of the first route. */
function changeRoute(rules: Rules, change: Partial<CallRoute>): Rules {
  const [first, ...others] = rules.routes;
  return { ...rules, routes: [{ ...first!, ...change }, ...others] };
}

function addOrganisation(rules: Rules, rate: number, burst: number): Rules {
  const organisation = {
    name: "large",
    keyHashes: ["hash"],
    priority: undefined,
    callsPerSecond: rate,
    burstCalls: burst,
  };
  return {
    ...rules,
    organisations: new Map([...rules.organisations, ["large", organisation]]),
  };
}

const defects: Readonly<
  Partial<Record<RulesFindingKind, (rules: Rules) => Rules>>
> = {
  [RulesFindingKind.RouteHidden]: (rules) => ({
    ...rules,
    routes: [...rules.routes, {
      ...createValidRoute("copy", "vitrine"),
      pathPrefix: "/cakes/",
    }],
  }),
  [RulesFindingKind.RouteWithoutWeight]: (rules) =>
    changeRoute(rules, { targets: [{ service: "vitrine", weight: 0 }] }),
  [RulesFindingKind.TargetWithoutWeight]: (rules) =>
    changeRoute(rules, {
      targets: [
        { service: "vitrine", weight: 1 },
        { service: "encomendas", weight: 0 },
      ],
    }),
  [RulesFindingKind.ServiceUnknown]: (rules) =>
    changeRoute(rules, {
      targets: [
        { service: "vitrine", weight: 1 },
        { service: "unlisted", weight: 1 },
      ],
    }),
  [RulesFindingKind.ServiceUnused]: (rules) => ({
    ...rules,
    services: new Map([...rules.services, createService("fornadas")]),
  }),
  [RulesFindingKind.TimeoutBelowGoal]: (rules) =>
    changeRoute(rules, { timeoutMilliseconds: 399 }),
  [RulesFindingKind.AttemptsBeyondTimeout]: (rules) =>
    changeRoute(rules, { attemptsMaximum: 3 }),
  [RulesFindingKind.IdleBelowHeader]: (rules) => ({
    ...rules,
    limits: { ...rules.limits, idleMilliseconds: 2_999 },
  }),
  [RulesFindingKind.QuotaWithoutBurst]: (rules) => addOrganisation(rules, 5, 0),
  [RulesFindingKind.QuotaAboveCapacity]: (rules) =>
    addOrganisation(rules, 1_000_000, 5),
};

test("rules without a defect have no finding", (t) => {
  fc.assert(
    fc.property(validRulesArbitrary, (rules) => {
      t.deepEqual(checkRules(rules, { slots, inForce: undefined }), []);
    }),
  );
});

Object.entries(defects).forEach(([kind, addDefect]) =>
  test(`one defect in any rules is found, and nothing else: ${kind}`, (t) => {
    fc.assert(
      fc.property(validRulesArbitrary, (rules) => {
        const known = kind === RulesFindingKind.ServiceUnused
          ? new Map([...slots, ["fornadas", 12]])
          : slots;
        const kinds = checkRules(addDefect(rules), { slots: known })
          .map((finding) => finding.kind);
        t.deepEqual(kinds, [kind as RulesFindingKind]);
      }),
    );
  })
);

test("a service that the register does not list is found", (t) => {
  fc.assert(
    fc.property(validRulesArbitrary, (rules) => {
      const findings = checkRules(rules, { slots: new Map([["vitrine", 12]]) });
      t.deepEqual(findings.map(({ kind, path }) => ({ kind, path })), [{
        kind: RulesFindingKind.ServiceWithoutServers,
        path: "services.encomendas",
      }]);
    }),
  );
});

test("a version that is not higher than the one in force is an error", (t) => {
  fc.assert(
    fc.property(validRulesArbitrary, (rules) => {
      const kinds = checkRules(rules, { inForce: rules })
        .map(({ kind }) => kind);
      t.deepEqual(kinds, [RulesFindingKind.VersionNotHigher]);
    }),
  );
});

// Nodes send the calls of such a route to its first target.
test("targets without a weight are reported with the service that gets the calls", (t) => {
  fc.assert(
    fc.property(validRulesArbitrary, (rules) => {
      const targets = [
        { service: "encomendas", weight: 0 },
        { service: "vitrine", weight: 0 },
      ];
      const [finding] = checkRules(changeRoute(rules, { targets }), { slots });
      const state = new Map<string, number>();
      const chosen = chooseTarget({ ...rules.routes[0]!, targets }, state);
      t.true(finding!.detail.includes(`"${chosen}"`));
    }),
  );
});
