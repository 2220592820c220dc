import type { AvailabilityZone } from "./availability_zone.ts";
import type { BackendServer } from "./backend_server.ts";
import type { Route } from "./route.ts";
import type { Service } from "./service.ts";
import type { Version } from "./version.ts";

/**
 * A compiled configuration. It is immutable and consistent: every route refers
 * to a service of the snapshot that has at least one backend server, and every
 * backend server refers to a zone of the snapshot.
 */
export interface Snapshot {
  readonly version: Version;
  readonly zones: ReadonlyMap<string, AvailabilityZone>;
  readonly services: ReadonlyMap<string, Service>;
  readonly backendServers: ReadonlyMap<string, BackendServer>;
  readonly routes: readonly Route[];
  /** The retry budget: the number of retries that nodes may send per hundred calls. */
  readonly retryBudgetPercent: number;
}
