import type { DeploymentService } from "./deployment_service.ts";

/** The size and load of a deployment that runs on one machine for show. */
export interface DeploymentPlan {
  readonly name: string;
  readonly region: string;
  readonly zones: readonly string[];
  readonly services: readonly DeploymentService[];
  /** Backend servers of each service, spread over the zones in turn. */
  readonly backendServersPerService: number;
  readonly slots: number;
  readonly coldSlots: number;
  readonly connections: number;
  /** Calls a second of the callers together. */
  readonly callsPerSecond: number;
}
