const spans = { timeout: "1000ms", goal: "300ms" };

/** Returns a version of the operators' rules with two routes and one more for each version. */
export function createSoakRules(version: number): unknown {
  const common = { ...spans, host: "soak.example", attempts: 2 };
  const service = {
    healthPath: "/healthz",
    maxConns: 200,
    cold: "1s",
    coldPerS: 20,
  };
  const added = Array.from({ length: version }, (_, index) => [
    `added-${index + 1}`,
    {
      ...common,
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
        ...common,
        prefix: "/look/",
        kind: "idempotent",
        priority: 2,
        split: [
          { service: "vitrine", weight: 3 },
          { service: "encomendas", weight: 1 },
        ],
      },
      order: {
        ...common,
        prefix: "/order/",
        kind: "non_idempotent",
        priority: 1,
        service: "encomendas",
      },
      ...Object.fromEntries(added),
    },
    services: { vitrine: service, encomendas: service },
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_048_576,
      headerTimeout: "3s",
      idleTimeout: "15s",
    },
  };
}
