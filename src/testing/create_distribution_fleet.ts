import type { NodeSettings } from "../daemon/node_settings.ts";
import type { ControlClient } from "../peers/control_client.ts";
import type { Snapshot } from "../configuration/snapshot.ts";
import { createDistributionRuntime } from "../distribution/create_distribution_runtime.ts";
import { BackendServerState } from "../health/backend_server_state.ts";
import { NodeState } from "../peers/node_state.ts";
import type { VmEntry } from "../platform/vm_entry.ts";
import { VmState } from "../platform/vm_state.ts";
import { createRandomSource } from "../runtime/create_random_source.ts";
import type { AuditEntry } from "../telemetry/audit_entry.ts";
import { createControlNetwork } from "./create_control_network.ts";
import { createPlatformFake } from "./create_platform_fake.ts";
import { createVirtualTime } from "./create_virtual_time.ts";
import type { DistributionFleet } from "./distribution_fleet.ts";
import type { FleetNode } from "./fleet_node.ts";

const startInstant = 1_764_800_000_000;
const host = "127.0.0.1";
const nodePortBase = 7000;

/**
 * Creates a fleet of `vms` VMs without starting a node. The VMs are named
 * `vm-1`, `vm-2` and so on, and are assigned to `zones` zones in turn, as
 * `createSampleConfiguration` assigns its backend servers. The nodes of the
 * first two VMs are the seed peers.
 */
export function createDistributionFleet(
  options: {
    readonly vms: number;
    readonly zones: number;
    readonly seed: number;
  },
): DistributionFleet {
  const time = createVirtualTime(startInstant);
  const network = createControlNetwork(time);
  const platform = createPlatformFake(time);
  const nodes = new Map<string, FleetNode>();
  const entries = Array.from(
    { length: options.vms },
    (_, index) => createVmEntry(index, options.zones),
  );
  const killedNodes = new Set<FleetNode>();
  const states = new Map<string, NodeState>();
  let startCount = 0;
  platform.setVms(entries);

  function start(vm: string): FleetNode {
    kill(vm);
    const entry = entries.find((other) => other.vm === vm) ??
      createVmEntry(entries.length, options.zones);
    startCount += 1;
    const node = createFleetNode(entry, {
      seed: options.seed + startCount,
      seedPeers: entries.slice(0, 2).map(({ nodeAddress }) => nodeAddress),
    });
    nodes.set(vm, node);
    network.listen(node.address, node.runtime.handleControlMethod);
    node.runtime.start();
    return node;
  }

  function kill(vm: string): void {
    const node = nodes.get(vm);
    if (node !== undefined) {
      network.close(node.address);
      nodes.delete(vm);
      killedNodes.add(node);
    }
  }

  function createFleetNode(
    entry: VmEntry,
    { seed, seedPeers }: {
      readonly seed: number;
      readonly seedPeers: NodeSettings["seedPeers"];
    },
  ): FleetNode {
    const applied: Snapshot[] = [];
    const audit: Omit<AuditEntry, "at" | "vm">[] = [];
    const runtime = createDistributionRuntime({
      settings: createSettings(entry, seedPeers),
      environment: {
        clock: time.clock,
        timers: {
          at: (instant, callback) =>
            time.timers.at(instant, () => {
              // The timers of a killed process do not fire.
              if (!killedNodes.has(node)) {
                callback();
              }
            }),
        },
        random: createRandomSource(seed),
        auditTrail: { record: (item) => void audit.push(item) },
        log: { debug() {}, info() {}, warn() {}, error() {} },
      },
      controlClient: createKillableClient(
        network.createClient(entry.nodeAddress),
        () => killedNodes.has(node),
      ),
      platformClient: platform.createClient(entry.vm),
      getOwnState: () => ({
        state: states.get(entry.vm) ??
          (applied.length > 0 ? NodeState.Serving : NodeState.Starting),
        backendServerState: BackendServerState.Ready,
        freeSlots: 1,
      }),
      prepareSnapshot: () => Promise.resolve(),
      applySnapshot: (snapshot) => void applied.push(snapshot),
    });
    const node: FleetNode = {
      vm: entry.vm,
      zone: entry.zone,
      address: entry.nodeAddress,
      runtime,
      applied,
      audit,
    };
    return node;
  }

  return {
    time,
    network,
    platform,
    start,
    kill,
    setState: (vm, state) =>
      state === undefined ? void states.delete(vm) : void states.set(vm, state),
    getNode: (vm) => nodes.get(vm),
    getNodes: () => [...nodes.values()],
    getVms: () => entries,
    advanceBy: (milliseconds) =>
      time.advanceTo(time.clock.now() + milliseconds),
  };
}

/**
 * Wraps the control client of a process that may be killed. Once `isKilled`
 * returns true, it sends nothing and its calls never resolve.
 */
function createKillableClient(
  client: ControlClient,
  isKilled: () => boolean,
): ControlClient {
  return {
    call: (call) =>
      new Promise((resolve) => {
        if (!isKilled()) {
          client.call(call).then((result) => isKilled() || resolve(result));
        }
      }),
    close: () => client.close(),
  };
}

function createVmEntry(index: number, zones: number): VmEntry {
  return {
    vm: `vm-${index + 1}`,
    zone: `zone-${index % zones + 1}`,
    region: "region-1",
    nodeAddress: { host, port: nodePortBase + index + 1 },
    state: VmState.Live,
  };
}

function createSettings(
  entry: VmEntry,
  seedPeers: NodeSettings["seedPeers"],
): NodeSettings {
  return {
    vm: entry.vm,
    zone: entry.zone,
    listeners: {
      callers: { host, port: 1 },
      nodes: entry.nodeAddress,
      operators: { host, port: 2 },
    },
    backendServer: null,
    platform: { host, port: 3 },
    seedPeers,
    limits: {
      requestBodyBytes: 1_048_576,
      requestHeaderBytes: 16_384,
      bufferedAnswerBytes: 262_144,
      configurationBytes: 1_048_576,
      queuedCalls: 24,
    },
    timing: {
      drainMilliseconds: 30_000,
      probeIntervalMilliseconds: 1_000,
      exchangeIntervalMilliseconds: 1_000,
      startupQuestionMilliseconds: 2_000,
      pauseThresholdMilliseconds: 1_000,
      keyLifetimeMilliseconds: 600_000,
      clockSkewMilliseconds: 2_000,
    },
    logLevel: "silent",
  };
}
