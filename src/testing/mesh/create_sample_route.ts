import { CallKind } from "../../routing/call_kind.ts";
import type { CallRoute } from "../../routing/call_route.ts";

/** Creates the route of idempotent calls with a timeout of 400 ms; `overrides` replaces fields. */
export function createSampleRoute(
  overrides: Partial<CallRoute> = {},
): CallRoute {
  return {
    name: "slots",
    host: "shop.example",
    pathPrefix: "/",
    kind: CallKind.Idempotent,
    attemptsMaximum: 2,
    timeoutMilliseconds: 400,
    goalMilliseconds: 120,
    priority: 1,
    isPublic: false,
    targets: [],
    ...overrides,
  };
}
