import type { ConfigurationChange } from "./configuration_change.ts";
import type { DeploymentPlan } from "./deployment_plan.ts";
import type { DeploymentVm } from "./deployment_vm.ts";
import { loopback } from "./loopback.ts";

const deadlineMilliseconds = 4000;

/** Returns the configuration document that the operators of the deployment publish, as JSON. */
export function createConfigurationText(
  plan: DeploymentPlan,
  vms: readonly DeploymentVm[],
  change: ConfigurationChange,
): string {
  const routes = plan.services.map((service) => ({
    pathPrefix: `/${service.name}`,
    service: service.name,
    priority: service.priority,
    deadlineMilliseconds,
    idempotentMethods: ["GET", "HEAD", "OPTIONS"],
    requireIdempotencyKey: service.method === "POST",
  }));
  const unknownServiceRoutes = change.unknownService === undefined ? [] : [{
    ...routes[0],
    pathPrefix: `/${change.unknownService}`,
    service: change.unknownService,
  }];
  return JSON.stringify({
    format: 1,
    number: change.number,
    register: {
      zones: plan.zones.map((name) => ({ name, region: plan.region })),
      services: plan.services.map(({ name }) => ({ name })),
      backendServers: vms.map((vm) => ({
        name: vm.backendServerName,
        service: vm.service.name,
        zone: vm.zone,
        vm: vm.vm,
        address: `${loopback}:${vm.backendServerPort}`,
        nodeAddress: `${loopback}:${vm.advertisedNodesPort}`,
        slots: plan.slots,
        coldSlots: plan.coldSlots,
        connections: plan.connections,
      })),
    },
    rules: {
      routes: [...routes, ...unknownServiceRoutes],
      zonesTakenOut: change.zonesTakenOut ?? [],
      backendServersLeaving: change.backendServersLeaving ?? [],
      retryBudgetPercent: change.retryBudgetPercent ?? 10,
    },
  });
}
