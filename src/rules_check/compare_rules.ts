import { isDeepStrictEqual } from "node:util";
import type { Rules } from "../routing/rules.ts";
import { createRulesDifference } from "./create_rules_difference.ts";
import { listKeyRequirementChanges } from "./list_key_requirement_changes.ts";
import { listWithdrawnKeys } from "./list_withdrawn_keys.ts";
import type { RulesDifference } from "./rules_difference.ts";
import { RulesDifferenceKind } from "./rules_difference_kind.ts";

/** The kinds of differences of one table of the rules. */
interface TableKinds {
  readonly name: string;
  readonly added: RulesDifferenceKind;
  readonly removed: RulesDifferenceKind;
  readonly changed: RulesDifferenceKind;
}

const routeKinds: TableKinds = {
  name: "routes",
  added: RulesDifferenceKind.RouteAdded,
  removed: RulesDifferenceKind.RouteRemoved,
  changed: RulesDifferenceKind.RouteChanged,
};
const serviceKinds: TableKinds = {
  name: "services",
  added: RulesDifferenceKind.ServiceAdded,
  removed: RulesDifferenceKind.ServiceRemoved,
  changed: RulesDifferenceKind.ServiceChanged,
};
const organisationKinds: TableKinds = {
  name: "organisations",
  added: RulesDifferenceKind.OrganisationAdded,
  removed: RulesDifferenceKind.OrganisationRemoved,
  changed: RulesDifferenceKind.OrganisationChanged,
};

/**
 * Compares the version in force with the next one, by route, service,
 * organisation and limit. Keys are counted and never named.
 */
export function compareRules(
  before: Rules,
  after: Rules,
): readonly RulesDifference[] {
  const nameRoutes = ({ routes }: Rules) =>
    new Map(routes.map((route) => [route.name, route]));
  const limitFields = listChangedFields(before.limits, after.limits);
  return [
    ...listKeyRequirementChanges(before, after),
    ...compareTables(
      { before: nameRoutes(before), after: nameRoutes(after) },
      routeKinds,
    ),
    ...compareTables(
      { before: before.services, after: after.services },
      serviceKinds,
    ),
    ...compareTables(
      { before: before.organisations, after: after.organisations },
      organisationKinds,
    ),
    ...listWithdrawnKeys(before, after),
    ...(limitFields.length === 0 ? [] : [
      createRulesDifference(RulesDifferenceKind.LimitsChanged, {
        path: "limits",
        fields: limitFields,
      }),
    ]),
  ];
}

function compareTables<T extends object>(
  tables: {
    readonly before: ReadonlyMap<string, T>;
    readonly after: ReadonlyMap<string, T>;
  },
  kinds: TableKinds,
): readonly RulesDifference[] {
  const { before, after } = tables;
  const names = new Set([...before.keys(), ...after.keys()]);
  return Array.from(names).flatMap((name) => {
    const path = `${kinds.name}.${name}`;
    const previous = before.get(name);
    const next = after.get(name);
    if (previous === undefined) {
      return [createRulesDifference(kinds.added, { path, fields: [] })];
    }
    if (next === undefined) {
      return [createRulesDifference(kinds.removed, { path, fields: [] })];
    }
    const fields = listChangedFields(previous, next);
    return fields.length === 0
      ? []
      : [createRulesDifference(kinds.changed, { path, fields })];
  });
}

function listChangedFields<T extends object>(
  before: T,
  after: T,
): readonly string[] {
  return Object.keys(after).filter((name) =>
    !isDeepStrictEqual(before[name as keyof T], after[name as keyof T])
  );
}
