import type { DeploymentService } from "./deployment_service.ts";

/** One VM of a deployment: a backend server and the node beside it, with their ports on loopback. */
export interface DeploymentVm {
  readonly vm: string;
  readonly zone: string;
  readonly backendServerName: string;
  readonly service: DeploymentService;
  readonly backendServerPort: number;
  readonly callersPort: number;
  /** Where the node listens for other nodes. */
  readonly nodesPort: number;
  /** The port that others are told of; a relay's, where one stands before the node. */
  readonly advertisedNodesPort: number;
  readonly operatorsPort: number;
}
