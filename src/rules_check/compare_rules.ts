import { isDeepStrictEqual } from "node:util";
import type { Organisation } from "../organisations/organisation.ts";
import type { Rules } from "../routing/rules.ts";
import { differenceEffects } from "./difference_effects.ts";
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
      createDifference(RulesDifferenceKind.LimitsChanged, {
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
      return [createDifference(kinds.added, { path, fields: [] })];
    }
    if (next === undefined) {
      return [createDifference(kinds.removed, { path, fields: [] })];
    }
    const fields = listChangedFields(previous, next);
    return fields.length === 0
      ? []
      : [createDifference(kinds.changed, { path, fields })];
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

/** Calls need a key as soon as there is an organisation. */
function listKeyRequirementChanges(
  before: Rules,
  after: Rules,
): readonly RulesDifference[] {
  const wereRequired = before.organisations.size > 0;
  const areRequired = after.organisations.size > 0;
  if (wereRequired === areRequired) return [];
  const kind = areRequired
    ? RulesDifferenceKind.KeysRequired
    : RulesDifferenceKind.KeysNotRequired;
  return [createDifference(kind, { path: "organisations", fields: [] })];
}

function listWithdrawnKeys(
  before: Rules,
  after: Rules,
): readonly RulesDifference[] {
  const accepted = new Set(
    Array.from(after.organisations.values())
      .flatMap(({ keyHashes }) => keyHashes),
  );
  return Array.from(after.organisations.values()).flatMap((organisation) => {
    const previous = before.organisations.get(organisation.name);
    const count = countWithdrawnKeys(previous, accepted);
    return count === 0 ? [] : [createDifference(
      RulesDifferenceKind.KeysWithdrawn,
      { path: `organisations.${organisation.name}`, fields: [`${count} keys`] },
    )];
  });
}

/** A key that another organisation takes over is still accepted. */
function countWithdrawnKeys(
  before: Organisation | undefined,
  accepted: ReadonlySet<string>,
): number {
  return (before?.keyHashes ?? []).filter((hash) => !accepted.has(hash)).length;
}

function createDifference(
  kind: RulesDifferenceKind,
  details: Pick<RulesDifference, "path" | "fields">,
): RulesDifference {
  return { kind, ...details, effect: differenceEffects[kind] };
}
