import { isDeepStrictEqual } from "node:util";
import type { Rules } from "./rules.ts";
import type { RulesChange } from "./rules_change.ts";

/** Returns the difference from `before` to `after`; all of `after` if `before` is undefined. */
export function createRulesChange(
  before: Rules | undefined,
  after: Rules,
): RulesChange {
  const routes = compareNamed(before?.routes ?? [], after.routes);
  const organisations = compareNamed(
    Array.from(before?.organisations.values() ?? []),
    Array.from(after.organisations.values()),
  );
  return {
    version: after.version,
    from: before?.version,
    routes: routes.changed,
    removedRoutes: routes.removed,
    services: Array.from(after.services.values()),
    limits: after.limits,
    organisations: organisations.changed,
    removedOrganisations: organisations.removed,
  };
}

interface Named {
  readonly name: string;
}

/** Returns the elements that were added or changed, and the names of those that were removed. */
function compareNamed<T extends Named>(
  before: readonly T[],
  after: readonly T[],
): { readonly changed: readonly T[]; readonly removed: readonly string[] } {
  const previous = new Map(before.map((element) => [element.name, element]));
  const currentNames = new Set(after.map(({ name }) => name));
  return {
    changed: after.filter((element) => {
      const known = previous.get(element.name);
      // An unchanged element is the same object in most cases.
      return element !== known && !isDeepStrictEqual(element, known);
    }),
    removed: Array.from(previous.keys()).filter((name) =>
      !currentNames.has(name)
    ),
  };
}
