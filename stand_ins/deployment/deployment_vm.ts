import type { DeploymentService } from "./deployment_service.ts";

/** A VM of a deployment: a backend server and the node beside it, with their ports on loopback. */
export interface DeploymentVm {
  readonly vm: string;
  readonly zone: string;
  readonly backendServerName: string;
  readonly service: DeploymentService;
  readonly backendServerPort: number;
  readonly callersPort: number;
  /** The port on which the node listens for other nodes. */
  readonly nodesPort: number;
  /** The port to which other nodes connect: the relay's if there is one, else `nodesPort`. */
  readonly advertisedNodesPort: number;
  readonly operatorsPort: number;
}
