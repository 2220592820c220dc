import { isDeepStrictEqual } from "node:util";
import type { Rules } from "./rules.ts";
import type { RulesChange } from "./rules_change.ts";

/** Returns the difference from `before` to `after`; all of `after` if `before` is undefined. */
export function createRulesChange(
  before: Rules | undefined,
  after: Rules,
): RulesChange {
  const previousRoutes = new Map(
    before?.routes.map((route) => [route.name, route]),
  );
  const currentNames = new Set(after.routes.map(({ name }) => name));
  return {
    version: after.version,
    from: before?.version,
    routes: after.routes.filter((route) =>
      !isDeepStrictEqual(route, previousRoutes.get(route.name))
    ),
    removedRoutes: Array.from(previousRoutes.keys()).filter((name) =>
      !currentNames.has(name)
    ),
    services: Array.from(after.services.values()),
    limits: after.limits,
  };
}
