import type { DeploymentVm } from "./deployment_vm.ts";
import { loopback } from "./loopback.ts";

const seedPeerCount = 3;

/** Returns the settings of a VM's node, in the format of its settings file. */
export function createNodeSettings(
  vm: DeploymentVm,
  options: {
    readonly vms: readonly DeploymentVm[];
    readonly platformPort: number;
    readonly timing?: object;
  },
): object {
  const others = options.vms.filter((other) => other.vm !== vm.vm);
  const zones = [...new Set(others.map((other) => other.zone))];
  const onePerZone = zones.map((zone) =>
    others.find((other) => other.zone === zone)!
  );
  const address = (port: number) => `${loopback}:${port}`;
  return {
    vm: vm.vm,
    zone: vm.zone,
    listeners: {
      callers: address(vm.callersPort),
      nodes: address(vm.nodesPort),
      operators: address(vm.operatorsPort),
    },
    backendServer: {
      name: vm.backendServerName,
      address: address(vm.backendServerPort),
    },
    platform: address(options.platformPort),
    seedPeers: onePerZone.slice(0, seedPeerCount).map((peer) =>
      address(peer.advertisedNodesPort)
    ),
    limits: {
      requestBodyBytes: 1_048_576,
      requestHeaderBytes: 16_384,
      bufferedAnswerBytes: 262_144,
      configurationBytes: 1_048_576,
      queuedCalls: 24,
    },
    timing: {
      drainMilliseconds: 8000,
      probeIntervalMilliseconds: 1000,
      exchangeIntervalMilliseconds: 1000,
      startupQuestionMilliseconds: 1500,
      pauseThresholdMilliseconds: 1000,
      keyLifetimeMilliseconds: 600_000,
      clockSkewMilliseconds: 200,
      ...options.timing,
    },
    logLevel: "warn",
  };
}
