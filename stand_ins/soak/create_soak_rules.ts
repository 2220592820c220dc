import { soakKeys } from "./soak_keys.ts";

const routeDurations = { timeout: "1000ms", goal: "300ms" };

/**
 * Returns the operators' rules of a version: three routes that every version
 * has, and one added route for each version up to this one. Calls to one route
 * need a key; each version adds a key and withdraws another one.
 */
export function createSoakRules(version: number): unknown {
  const commonRouteFields = {
    ...routeDurations,
    host: "soak.example",
    attempts: 2,
    public: true,
  };
  const service = {
    healthPath: "/healthz",
    maxConns: 200,
    cold: "1s",
    coldPerS: 20,
  };
  const addedRoutes = Array.from({ length: version }, (_, index) => [
    `added-${index + 1}`,
    {
      ...commonRouteFields,
      prefix: `/v${index + 1}/`,
      kind: "idempotent",
      priority: 2,
      service: "vitrine",
    },
  ]);
  return {
    version,
    routes: {
      look: {
        ...commonRouteFields,
        prefix: "/look/",
        kind: "idempotent",
        priority: 2,
        split: [
          { service: "vitrine", weight: 3 },
          { service: "encomendas", weight: 1 },
        ],
      },
      keyed: {
        ...commonRouteFields,
        public: false,
        prefix: "/keyed/",
        kind: "idempotent",
        priority: 2,
        service: "vitrine",
      },
      order: {
        ...commonRouteFields,
        prefix: "/order/",
        kind: "non_idempotent",
        priority: 1,
        service: "encomendas",
      },
      ...Object.fromEntries(addedRoutes),
    },
    services: { vitrine: service, encomendas: service },
    tenants: {
      [soakKeys.lastingOrganisation]: { apiKeys: [soakKeys.lasting] },
      [soakKeys.changingOrganisation]: {
        apiKeys: [soakKeys.ofVersion(version), soakKeys.ofVersion(version - 1)],
      },
    },
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_048_576,
      headerTimeout: "3s",
      idleTimeout: "15s",
    },
  };
}
