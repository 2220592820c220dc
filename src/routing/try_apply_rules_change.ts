import type { Rules } from "./rules.ts";
import type { RulesChange } from "./rules_change.ts";

/**
 * Returns the version that results from a change of `before`, or undefined if
 * the change applies to another version. A change without `from` contains the
 * whole version and replaces `before` entirely.
 */
export function tryApplyRulesChange(
  before: Rules | undefined,
  change: RulesChange,
): Rules | undefined {
  const { version, from, services, limits } = change;
  if (from !== undefined && from !== before?.version) return undefined;
  const kept = from === undefined ? undefined : before;
  const routes = applyNamedChange(kept?.routes ?? [], {
    changed: change.routes,
    removed: change.removedRoutes,
  });
  return {
    version,
    routes: Array.from(routes.values()),
    services: new Map(services.map((service) => [service.name, service])),
    limits,
    organisations: applyNamedChange(kept?.organisations.values() ?? [], {
      changed: change.organisations,
      removed: change.removedOrganisations,
    }),
  };
}

/** Returns the elements after a change, by name. */
function applyNamedChange<T extends { readonly name: string }>(
  before: Iterable<T>,
  change: {
    readonly changed: readonly T[];
    readonly removed: readonly string[];
  },
): ReadonlyMap<string, T> {
  const elements = new Map(
    Array.from(before, (element) => [element.name, element]),
  );
  change.removed.forEach((name) => elements.delete(name));
  change.changed.forEach((element) => elements.set(element.name, element));
  return elements;
}
