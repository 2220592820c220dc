import type { DeploymentPlan } from "./deployment_plan.ts";
import type { DeploymentVm } from "./deployment_vm.ts";

/** How many ports each VM of a deployment takes. */
const portsPerVm = 4;

/** Returns one VM for each backend server of the plan; `takePorts` gives free ports. */
export async function createDeploymentVms(
  plan: DeploymentPlan,
  takePorts: (count: number) => Promise<readonly number[]>,
): Promise<readonly DeploymentVm[]> {
  const backendServers = plan.services.flatMap((service) =>
    Array.from(
      { length: plan.backendServersPerService },
      (_, index) => ({ service, index }),
    )
  );
  const ports = await takePorts(backendServers.length * portsPerVm);
  return backendServers.map(({ service, index }, position) => {
    const take = (offset: number) => ports[position * portsPerVm + offset] ?? 0;
    return {
      vm: `vm-${position + 1}`,
      zone: plan.zones[index % plan.zones.length] ?? "",
      backendServerName: `${service.name}-${index + 1}`,
      service,
      backendServerPort: take(0),
      callersPort: take(1),
      nodesPort: take(2),
      advertisedNodesPort: take(2),
      operatorsPort: take(3),
    };
  });
}
