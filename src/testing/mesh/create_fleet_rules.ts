import { CallKind } from "../../routing/call_kind.ts";
import type { CallRoute } from "../../routing/call_route.ts";
import type { Rules } from "../../routing/rules.ts";

/** Creates the rules of a fleet: one route, `/cakes/` of `shop.example`, to its service. */
export function createFleetRules(
  service: string,
  routeOverrides: Partial<CallRoute>,
): Rules {
  const route: CallRoute = {
    name: "cakes",
    host: "shop.example",
    pathPrefix: "/cakes/",
    kind: CallKind.Idempotent,
    attemptsMaximum: 2,
    timeoutMilliseconds: 1_500,
    goalMilliseconds: 400,
    priority: 2,
    isPublic: false,
    targets: [{ service, weight: 1 }],
    ...routeOverrides,
  };
  return {
    version: 1,
    routes: [route],
    services: new Map([[service, {
      name: service,
      healthPath: "/health",
      connectionsMaximum: 120,
      coldMilliseconds: 500,
      coldCallsPerSecond: 14,
    }]]),
    limits: {
      headerBytesMaximum: 16_384,
      bodyBytesMaximum: 65_536,
      headerMilliseconds: 3_000,
      idleMilliseconds: 15_000,
    },
    organisations: new Map(),
  };
}
