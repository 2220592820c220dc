import type { DeploymentService } from "./deployment_service.ts";

/** The size and load of a demonstration deployment that runs on one machine. */
export interface DeploymentPlan {
  readonly name: string;
  readonly region: string;
  readonly zones: readonly string[];
  readonly services: readonly DeploymentService[];
  /** Number of backend servers of each service; they are assigned to the zones in turn. */
  readonly backendServersPerService: number;
  readonly slots: number;
  readonly coldSlots: number;
  readonly connections: number;
  /** Rate of all callers together. */
  readonly callsPerSecond: number;
}
