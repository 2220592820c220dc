import type { CallerReport } from "../caller/caller_report.ts";
import type { CallerSettings } from "../caller/caller_settings.ts";
import type { PlatformCounters } from "../platform/platform_counters.ts";
import type { BackendServerRuns } from "./backend_server_runs.ts";
import type { Child } from "./child.ts";
import { createConfigurationText } from "./create_configuration_text.ts";
import { createDeploymentVms } from "./create_deployment_vms.ts";
import { createNodeSettings } from "./create_node_settings.ts";
import { createProcessGroup } from "./create_process_group.ts";
import type { Deployment } from "./deployment.ts";
import type { DeploymentOptions } from "./deployment_options.ts";
import type { DeploymentPlan } from "./deployment_plan.ts";
import type { DeploymentVm } from "./deployment_vm.ts";
import { expectValue } from "./expect_value.ts";
import { findFreePorts } from "./find_free_ports.ts";
import { loopback } from "./loopback.ts";
import type { NodeStatus } from "./node_status.ts";
import type { ProcessGroup } from "./process_group.ts";
import { requestJson } from "./request_json.ts";
import { requestText } from "./request_text.ts";

/** The line that a stand-in prints once it listens; `control` is the port for control requests, if it has one of its own. */
interface Announcement {
  readonly listening: number;
  readonly control?: number;
}

const nodeProgram = "src/command_line/main.js";
const callerSeed = 7;
const callerDurationMilliseconds = 60_000;

/**
 * Starts the platform, backend servers, relays and nodes of a plan. Publishes
 * version 1 and the list of all VMs before the first node starts.
 */
export async function startDeployment(
  plan: DeploymentPlan,
  options: DeploymentOptions = {},
): Promise<Deployment> {
  const group = createProcessGroup();
  try {
    return await startInGroup(plan, options, group);
  } catch (error) {
    await group.end();
    throw error;
  }
}

async function startInGroup(
  plan: DeploymentPlan,
  options: DeploymentOptions,
  group: ProcessGroup,
): Promise<Deployment> {
  const plannedVms = await createDeploymentVms(plan, findFreePorts);
  const nodes = new Map<string, Child>();
  const relayControlPorts = new Map<string, number>();
  let callerCount = 0;

  const startStandIn = async (name: string, kind: string, settings: object) => {
    const program = `stand_ins/${kind}/main.js`;
    const child = group.start(name, { program, settings });
    return JSON.parse(await child.firstLine) as Announcement;
  };
  const startRelay = async (vm: DeploymentVm): Promise<DeploymentVm> => {
    if (options.hasRelay?.(vm) !== true) {
      return vm;
    }
    const relay = await startStandIn(`relay-${vm.vm}`, "relay", {
      target: `${loopback}:${vm.nodesPort}`,
    });
    relayControlPorts.set(vm.vm, relay.control ?? 0);
    return { ...vm, advertisedNodesPort: relay.listening };
  };
  const startBackendServer = (vm: DeploymentVm, index: number) =>
    startStandIn(vm.backendServerName, "backend_server", {
      listen: `${loopback}:${vm.backendServerPort}`,
      name: vm.backendServerName,
      slots: plan.slots,
      coldSlots: plan.coldSlots,
      connections: plan.connections,
      seed: index + 1,
      ...options.backendServer,
    });
  const platform = await startStandIn("platform", "platform", {});
  const vms = await Promise.all(plannedVms.map(startRelay));
  await Promise.all(vms.map(startBackendServer));
  const platformPort = platform.listening;
  const getListedVm = (vm: DeploymentVm): DeploymentVm =>
    options.listsRelay === true
      ? vm
      : { ...vm, advertisedNodesPort: vm.nodesPort };

  const put = async (port: number, path: string, body: string) => {
    const response = expectValue(
      await requestJson<{ acceptedAt?: number }>(port, path, body),
      `No response to "PUT ${path}" from port ${port}`,
    );
    return response.acceptedAt ?? 0;
  };
  const publishText = (text: string) =>
    put(platformPort, "/stand-in/value", text);
  const startNode = (vm: DeploymentVm) => {
    const child = group.start(vm.vm, {
      program: options.nodeProgram ?? nodeProgram,
      parameters: ["node"],
      settings: createNodeSettings(vm, {
        vms: vms.map(getListedVm),
        platformPort,
        ...(options.timing === undefined ? {} : { timing: options.timing }),
      }),
    });
    nodes.set(vm.vm, child);
    return child;
  };
  const startCaller = (settings: Partial<CallerSettings>) => {
    callerCount += 1;
    const child = group.start(`caller-${callerCount}`, {
      program: "stand_ins/caller/main.js",
      settings: { ...createCallerSettings(plan, vms), ...settings },
    });
    const report = child.firstLine.then((line) =>
      JSON.parse(line) as CallerReport
    );
    // Prevents an unhandled rejection: a test that fails before it awaits the
    // report kills the caller.
    report.catch(() => {});
    return {
      report,
      stop: () => void child.process.kill("SIGTERM"),
    };
  };
  const deployment: Deployment = {
    vms,
    platformPort,
    getNode: (vm) => nodes.get(vm.vm)!,
    startNode,
    publishText,
    publish: (change) =>
      publishText(createConfigurationText(plan, vms, change)),
    async publishVmList(live, leaving = []) {
      const isLeaving = (vm: DeploymentVm) =>
        leaving.some((other) => other.vm === vm.vm);
      const vmList = createVmList(plan, live.map(getListedVm), isLeaving);
      await put(platformPort, "/stand-in/vms", JSON.stringify({ vms: vmList }));
    },
    async setPlatformFaults(faults) {
      await put(platformPort, "/stand-in/faults", JSON.stringify(faults));
    },
    async setBackendServerState(vm, state) {
      const body = JSON.stringify(state);
      await put(vm.backendServerPort, "/stand-in/state", body);
    },
    async setBackendServerFaults(vm, faults) {
      const body = JSON.stringify(faults);
      await put(vm.backendServerPort, "/stand-in/faults", body);
    },
    async setRelayMode(vm, mode) {
      const port = relayControlPorts.get(vm.vm) ?? 0;
      await put(port, "/stand-in/mode", JSON.stringify(mode));
    },
    getStatus: (vm) => requestJson<NodeStatus>(vm.operatorsPort, "/status"),
    getTrail: (vm) => requestText(vm.operatorsPort, "/trail"),
    async isReady(vm) {
      const health = await requestJson<{ ready: boolean }>(
        vm.operatorsPort,
        "/health",
      );
      return health?.ready === true;
    },
    async getRuns(vm) {
      const path = "/stand-in/runs";
      return expectValue(
        await requestJson<BackendServerRuns>(vm.backendServerPort, path),
        `No run counts from "${vm.backendServerName}"`,
      );
    },
    async getPlatformCounters() {
      const path = "/stand-in/counters";
      return expectValue(
        await requestJson<PlatformCounters>(platformPort, path),
        "No counters from the platform",
      );
    },
    startCaller,
    end: () => group.end(),
  };
  await deployment.publish({ number: 1 });
  await deployment.publishVmList(vms);
  vms.forEach(startNode);
  return deployment;
}

function createVmList(
  plan: DeploymentPlan,
  live: readonly DeploymentVm[],
  isLeaving: (vm: DeploymentVm) => boolean,
): readonly object[] {
  return live.map((vm) => ({
    vm: vm.vm,
    zone: vm.zone,
    region: plan.region,
    nodeAddress: { host: loopback, port: vm.advertisedNodesPort },
    state: isLeaving(vm) ? "leaving" : "live",
  }));
}

function createCallerSettings(
  plan: DeploymentPlan,
  vms: readonly DeploymentVm[],
): object {
  return {
    nodes: vms.map((vm) => `${loopback}:${vm.callersPort}`),
    seed: callerSeed,
    callsPerSecond: plan.callsPerSecond,
    durationMilliseconds: callerDurationMilliseconds,
    services: plan.services.map((service) => ({
      service: service.name,
      priority: service.priority,
      path: `/${service.name}/page`,
      method: service.method,
      weight: service.weight,
      bytes: service.bytes,
      keyed: service.method === "POST",
    })),
  };
}
