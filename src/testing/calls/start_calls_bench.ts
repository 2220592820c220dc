import { createServer } from "node:http";
import type { Server } from "node:http";
import { Result } from "true-myth";
import type { CallsRuntimeOptions } from "../../calls/calls_runtime_options.ts";
import { ledgerQuietMilliseconds } from "../../calls/ledger_quiet_milliseconds.ts";
import { CallPriority } from "../../configuration/call_priority.ts";
import type { BackendServer } from "../../configuration/backend_server.ts";
import type { Snapshot } from "../../configuration/snapshot.ts";
import { ZoneState } from "../../configuration/zone_state.ts";
import { createCallsRuntime } from "../../daemon/calls/create_calls_runtime.ts";
import type { NodeSettings } from "../../daemon/node_settings.ts";
import type { ControlClient } from "../../peers/control_client.ts";
import { ControlFailureKind } from "../../peers/control_failure_kind.ts";
import type { NetworkAddress } from "../../runtime/network_address.ts";
import type { CallObservation } from "../../telemetry/call_observation.ts";
import type { BenchNode } from "./bench_node.ts";
import type { CallsBench } from "./calls_bench.ts";
import { createLoopbackEnvironment } from "./create_loopback_environment.ts";
import { createFixedSlotAdmission } from "./create_fixed_slot_admission.ts";
import { listenOnLoopback } from "./listen_on_loopback.ts";
import { startRelay } from "./start_relay.ts";
import { startScriptedBackendServer } from "./start_scripted_backend_server.ts";

const zone = "sul-a";
const service = "encomendas";

/** Starts `count` nodes, each beside a scripted backend server, with one configuration in force. */
export async function startCallsBench(
  count: number,
  options: {
    /** Number of slots of each node's admission, by index of the node; 12 if omitted. */
    readonly slots?: readonly number[];
    /** VMs that the platform no longer lists, with the instant at which the node observed this. */
    readonly gone?: ReadonlyMap<string, number>;
    /** Deadline of the route; 30,000 if omitted. */
    readonly deadlineMilliseconds?: number;
    /** 10 if omitted. */
    readonly retryBudgetPercent?: number;
  } = {},
): Promise<CallsBench> {
  const nodesByPort = new Map<number, BenchNode>();
  // A new ledger runs no call with an idempotency key during its quiet period.
  // The clocks of the nodes lag by more than this period until the configuration
  // is in force; removing the lag ends the period.
  let clockLag = 2 * ledgerQuietMilliseconds;
  const controlClient: ControlClient = {
    call: async ({ address, method, parameters }) => {
      const node = nodesByPort.get(address.port);
      return node === undefined
        ? Result.err({
          kind: ControlFailureKind.ConnectionFailed,
          detail: "",
          refused: true,
        })
        : Result.ok(
          JSON.parse(JSON.stringify(
            await node.runtime.handleControlMethod(method, parameters),
          )),
        );
    },
    close: () => Promise.resolve(),
  };
  const nodes = await Promise.all(
    Array.from({ length: count }, async (_, index) => {
      const node = await startNode(`encomendas-${index + 1}`, {
        controlClient,
        slots: options.slots?.[index] ?? 12,
        gone: options.gone ?? new Map(),
        getClockLag: () => clockLag,
      });
      nodesByPort.set(node.relay.address.port, node);
      return {
        ...node,
        closeListeners: async () => {
          nodesByPort.delete(node.relay.address.port);
          await node.closeListeners();
        },
      };
    }),
  );
  const snapshot = createBenchSnapshot(
    nodes,
    options.deadlineMilliseconds ?? 30_000,
    options.retryBudgetPercent ?? 10,
  );
  await Promise.all(
    nodes.map((node) => node.runtime.prepareSnapshot(snapshot)),
  );
  nodes.forEach((node) => node.runtime.applySnapshot(snapshot));
  clockLag = 0;
  return {
    nodes,
    snapshot,
    close: async () => {
      await Promise.all(nodes.map(async (node) => {
        await node.runtime.stop();
        await node.closeListeners();
        await node.backendServer.close();
      }));
    },
  };
}

async function startNode(
  name: string,
  options: {
    readonly controlClient: ControlClient;
    readonly slots: number;
    readonly getClockLag: () => number;
    readonly gone: ReadonlyMap<string, number>;
  },
): Promise<BenchNode> {
  const backendServer = await startScriptedBackendServer();
  const admission = createFixedSlotAdmission(options.slots);
  const observations: CallObservation[] = [];
  const runtime = createCallsRuntime(
    {
      settings: createBenchSettings(name, backendServer.address),
      environment: createLoopbackEnvironment(options.getClockLag),
      admission,
      controlClient: options.controlClient,
      getPeers: () => new Map(),
      getGoneVms: () => options.gone,
      observe: (observation) => observations.push(observation),
    } satisfies CallsRuntimeOptions,
  );
  const callersServer = createServer(runtime.handleCallerRequest);
  const nodesServer = createServer(runtime.handleForwardedCall);
  const nodesAddress = await listenOnLoopback(nodesServer);
  const relay = await startRelay(nodesAddress);
  return {
    name,
    runtime,
    admission,
    backendServer,
    observations,
    callers: await listenOnLoopback(callersServer),
    nodes: nodesAddress,
    relay,
    closeListeners: async () => {
      await Promise.all([
        closeServer(callersServer),
        closeServer(nodesServer),
        relay.close(),
      ]);
    },
  };
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}

function createBenchSettings(
  name: string,
  address: NetworkAddress,
): NodeSettings {
  const unusedAddress = { host: "127.0.0.1", port: 0 };
  return {
    vm: `vm-${name}`,
    zone,
    listeners: {
      callers: unusedAddress,
      nodes: unusedAddress,
      operators: unusedAddress,
    },
    backendServer: { name, address },
    platform: unusedAddress,
    seedPeers: [],
    limits: {
      requestBodyBytes: 10_000,
      requestHeaderBytes: 16_384,
      bufferedAnswerBytes: 65_536,
      configurationBytes: 1_048_576,
      queuedCalls: 16,
    },
    timing: {
      drainMilliseconds: 5000,
      probeIntervalMilliseconds: 1000,
      exchangeIntervalMilliseconds: 1000,
      startupQuestionMilliseconds: 1000,
      pauseThresholdMilliseconds: 1000,
      keyLifetimeMilliseconds: 60_000,
      clockSkewMilliseconds: 0,
    },
    logLevel: "silent",
  };
}

function createBenchSnapshot(
  nodes: readonly BenchNode[],
  deadlineMilliseconds: number,
  retryBudgetPercent: number,
): Snapshot {
  const backendServers = nodes.map((node): BackendServer => ({
    name: node.name,
    service,
    zone,
    vm: `vm-${node.name}`,
    address: node.backendServer.address,
    nodeAddress: node.relay.address,
    slots: 12,
    coldSlots: 2,
    connections: 120,
    leaving: false,
  }));
  return {
    version: { number: 1, digest: "0".repeat(64) },
    zones: new Map([[zone, {
      name: zone,
      region: "sul",
      state: ZoneState.InService,
    }]]),
    services: new Map([[service, { name: service, backendServers }]]),
    backendServers: new Map(
      backendServers.map((server) => [server.name, server]),
    ),
    routes: [{
      host: undefined,
      pathPrefix: "/encomendas",
      service,
      priority: CallPriority.High,
      deadlineMilliseconds,
      idempotentMethods: ["GET", "HEAD"],
      requireIdempotencyKey: false,
    }],
    retryBudgetPercent,
  };
}
