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
  const kept = from === undefined ? [] : before?.routes ?? [];
  const routes = new Map(kept.map((route) => [route.name, route]));
  change.removedRoutes.forEach((name) => routes.delete(name));
  change.routes.forEach((route) => routes.set(route.name, route));
  return {
    version,
    routes: Array.from(routes.values()),
    services: new Map(services.map((service) => [service.name, service])),
    limits,
  };
}
