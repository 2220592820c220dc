import test from "ava";
import type { Organisation } from "../organisations/organisation.ts";
import type { Rules } from "../routing/rules.ts";
import { createSampleRoute } from "../testing/mesh/create_sample_route.ts";
import { createSampleRules } from "../testing/mesh/create_sample_rules.ts";
import { compareRules } from "./compare_rules.ts";
import { RulesDifferenceKind } from "./rules_difference_kind.ts";

const bakery: Organisation = {
  name: "bakery",
  keyHashes: ["hash-1", "hash-2"],
  priority: 1,
  callsPerSecond: 10,
  burstCalls: 5,
};

function createRules(change: Partial<Rules> = {}): Rules {
  return createSampleRules({
    routes: [createSampleRoute({ name: "cakes" })],
    organisations: new Map([[bakery.name, bakery]]),
    ...change,
  });
}

function listDifferences(after: Rules) {
  return compareRules(createRules(), after).map(({ kind, path, fields }) => ({
    kind,
    path,
    fields,
  }));
}

test("equal rules have no difference", (t) => {
  t.deepEqual(listDifferences(createRules()), []);
});

test("added, removed and changed routes are told by name and field", (t) => {
  const added = createSampleRoute({ name: "orders" });
  const changed = createSampleRoute({ name: "cakes", priority: 7 });
  t.deepEqual(listDifferences(createRules({ routes: [changed, added] })), [
    {
      kind: RulesDifferenceKind.RouteChanged,
      path: "routes.cakes",
      fields: ["priority"],
    },
    { kind: RulesDifferenceKind.RouteAdded, path: "routes.orders", fields: [] },
  ]);
  t.deepEqual(listDifferences(createRules({ routes: [] })), [
    {
      kind: RulesDifferenceKind.RouteRemoved,
      path: "routes.cakes",
      fields: [],
    },
  ]);
});

test("withdrawn keys are counted and not named", (t) => {
  const after = { ...bakery, keyHashes: ["hash-2"] };
  const differences = compareRules(
    createRules(),
    createRules({ organisations: new Map([[bakery.name, after]]) }),
  );
  t.true(
    differences.some(({ kind, fields }) =>
      kind === RulesDifferenceKind.KeysWithdrawn && fields[0] === "1 keys"
    ),
  );
  t.notRegex(JSON.stringify(differences), /hash-/);
});

test("a key that another organisation takes over is not withdrawn", (t) => {
  const reduced = { ...bakery, keyHashes: ["hash-2"] };
  const other = { ...bakery, name: "mill", keyHashes: ["hash-1"] };
  const kinds = listDifferences(createRules({
    organisations: new Map([["bakery", reduced], ["mill", other]]),
  })).map(({ kind }) => kind);
  t.deepEqual(kinds, [
    RulesDifferenceKind.OrganisationChanged,
    RulesDifferenceKind.OrganisationAdded,
  ]);
});

// Without organisations, calls need no key.
test("the first and the last organisation tell what calls without a key notice", (t) => {
  const without = createRules({ organisations: new Map() });
  const [first] = compareRules(without, createRules());
  t.regex(first!.effect, /without a key get status 401/);
  const [last] = compareRules(createRules(), without);
  t.regex(last!.effect, /no call needs a key/);
});
