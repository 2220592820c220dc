import { createConfigurationText } from "../../stand_ins/deployment/create_configuration_text.ts";
import type { DeploymentPlan } from "../../stand_ins/deployment/deployment_plan.ts";
import type { DeploymentVm } from "../../stand_ins/deployment/deployment_vm.ts";

/** Returns the text of version `number`, in which only the connections of one backend server differ from other versions. */
export function createServiceChange(
  plan: DeploymentPlan,
  vms: readonly DeploymentVm[],
  number: number,
): string {
  const document = JSON.parse(createConfigurationText(plan, vms, { number }));
  const [first, ...others] = document.register.backendServers;
  const changed = { ...first, connections: first.connections + number };
  return JSON.stringify({
    ...document,
    register: { ...document.register, backendServers: [changed, ...others] },
  });
}
