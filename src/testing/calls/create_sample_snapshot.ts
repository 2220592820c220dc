import { CallPriority } from "../../configuration/call_priority.ts";
import type { Snapshot } from "../../configuration/snapshot.ts";

const service = "encomendas";

/** Creates a snapshot with routes to one service that has no backend servers. */
export function createSampleSnapshot(
  pathPrefixes: readonly string[],
): Snapshot {
  return {
    version: { number: 1, digest: "0".repeat(64) },
    zones: new Map(),
    services: new Map([[service, { name: service, backendServers: [] }]]),
    backendServers: new Map(),
    routes: pathPrefixes.map((pathPrefix) => ({
      host: undefined,
      pathPrefix,
      service,
      priority: CallPriority.High,
      deadlineMilliseconds: 4000,
      idempotentMethods: ["GET"],
      requireIdempotencyKey: false,
    })),
    retryBudgetPercent: 10,
  };
}
