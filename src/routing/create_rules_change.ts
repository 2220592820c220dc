import { isDeepStrictEqual } from "node:util";
import type { Rules } from "./rules.ts";
import type { RulesChange } from "./rules_change.ts";

/** Returns what leads from `before` to `after`; everything where there is nothing before. */
export function createRulesChange(
  before: Rules | undefined,
  after: Rules,
): RulesChange {
  const known = new Map(before?.routes.map((route) => [route.name, route]));
  const names = new Set(after.routes.map(({ name }) => name));
  return {
    version: after.version,
    from: before?.version,
    routes: after.routes.filter((route) =>
      !isDeepStrictEqual(route, known.get(route.name))
    ),
    removedRoutes: Array.from(known.keys()).filter((name) => !names.has(name)),
    services: Array.from(after.services.values()),
    limits: after.limits,
  };
}
