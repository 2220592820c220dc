import type { DeploymentPlan } from "./deployment_plan.ts";
import type { DeploymentVm } from "./deployment_vm.ts";

const portsPerVm = 4;

/** Resolves with one VM for each backend server of the plan; `findPorts` resolves with the given number of free ports. */
export async function createDeploymentVms(
  plan: DeploymentPlan,
  findPorts: (count: number) => Promise<readonly number[]>,
): Promise<readonly DeploymentVm[]> {
  const backendServers = plan.services.flatMap((service) =>
    Array.from(
      { length: plan.backendServersPerService },
      (_, index) => ({ service, index }),
    )
  );
  const ports = await findPorts(backendServers.length * portsPerVm);
  return backendServers.map(({ service, index }, position) => {
    const getPort = (offset: number) =>
      ports[position * portsPerVm + offset] ?? 0;
    return {
      vm: `vm-${position + 1}`,
      zone: plan.zones[index % plan.zones.length] ?? "",
      backendServerName: `${service.name}-${index + 1}`,
      service,
      backendServerPort: getPort(0),
      callersPort: getPort(1),
      nodesPort: getPort(2),
      advertisedNodesPort: getPort(2),
      operatorsPort: getPort(3),
    };
  });
}
