import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { basename, join } from "node:path";
import process from "node:process";
import { setTimeout as wait } from "node:timers/promises";
import { startStoreServer } from "../../stand_ins/store/start_store_server.ts";
import { parseProcessUsage } from "../fleet/parse_process_usage.ts";
import type { CallStage } from "./call_stage.ts";
import { createModuleFinder } from "./create_module_finder.ts";
import type { ProcessorProfile } from "./processor_profile.ts";
import { sendSteadyCalls } from "./send_steady_calls.ts";
import type { StageCase } from "./stage_case.ts";
import type { StageResult } from "./stage_result.ts";
import { startStageBackend } from "./start_stage_backend.ts";
import { startStageNode } from "./start_stage_node.ts";
import { sumStageTimes } from "./sum_stage_times.ts";

const callersHost = "127.0.0.1";
const serversHost = "127.0.0.2";
/**
 * The node of the caller binds another address family than the one beside the
 * backend server, which answers for all hosts of the register: the port for
 * other nodes is the same on every VM.
 */
const nodesHosts = { callers: "[::1]", servers: "0.0.0.0" };
const hostsPerBlock = 250;
const port = {
  nodes: 19_400,
  backend: 19_401,
  callers: 19_402,
  readiness: 19_403,
  store: 19_404,
};
const settleMilliseconds = 2_000;
const nanosecondsPerMicrosecond = 1_000n;
const microsecondsPerMillisecond = 1_000;
const nodeNames: readonly string[] = ["callers", "servers"];

/**
 * Runs a node of callers and a node beside a backend server, and measures the
 * cost of calls that pass both.
 */
export async function runStageCase(stageCase: StageCase): Promise<StageResult> {
  const { bundlePath, profiled, runtimeParameters } = stageCase;
  const folder = mkdtempSync(join(tmpdir(), "catkinquay-stages-"));
  const store = await startStoreServer({ host: callersHost, port: port.store });
  const identifier = "i-1";
  const closeBackend = await startStageBackend({
    host: serversHost,
    port: port.backend,
    identifier,
  });
  store.put("op/config", createRules());
  Array.from({ length: stageCase.servers }, (_, index) => {
    store.put(`servers/i-${index + 1}`, createEntry(index));
  });
  const nodes = [
    startStageNode(bundlePath, {
      folder,
      profiled,
      runtimeParameters,
      name: "callers",
      settings: createSettings(callersHost, nodesHosts.callers, "counter"),
    }),
    startStageNode(bundlePath, {
      folder,
      profiled,
      runtimeParameters,
      name: "servers",
      settings: createSettings(serversHost, nodesHosts.servers, "shop"),
    }),
  ];
  try {
    await wait(settleMilliseconds);
    const startMilliseconds = sumProcessorMilliseconds(nodes);
    const address = { host: callersHost, port: port.callers };
    const { callsPerSecond, seconds, warmUpSeconds } = stageCase;
    await sendSteadyCalls(address, {
      callsPerSecond,
      seconds: warmUpSeconds,
    });
    const before = sumProcessorMilliseconds(nodes);
    const from = getMicroseconds();
    const { answered, failed } = await sendSteadyCalls(address, {
      callsPerSecond,
      seconds,
    });
    const to = getMicroseconds();
    const used = sumProcessorMilliseconds(nodes) - before;
    await Promise.all(nodes.map(async (node) => {
      node.kill("SIGTERM");
      await once(node, "exit");
    }));
    const calls = answered + failed;
    return {
      answered,
      failed,
      startMilliseconds,
      callMicroseconds: used * microsecondsPerMillisecond / calls,
      stages: profiled
        ? readStages(folder, {
          bundlePath,
          from,
          to,
          callMicroseconds: used * microsecondsPerMillisecond / calls,
        })
        : new Map(),
    };
  } finally {
    nodes.forEach((node) => node.kill("SIGKILL"));
    closeBackend();
    await store.close();
    rmSync(folder, { recursive: true, force: true });
  }
}

/**
 * A profile shows the share of each stage; the time that the system counted for
 * the processes is divided by it, since a busy machine interrupts them.
 */
function readStages(
  folder: string,
  options: {
    readonly bundlePath: string;
    readonly from: number;
    readonly to: number;
    readonly callMicroseconds: number;
  },
): ReadonlyMap<CallStage, number> {
  const { bundlePath, from, to, callMicroseconds } = options;
  const getModule = createModuleFinder(readFileSync(bundlePath, "utf8"));
  const bundleName = basename(bundlePath);
  const times = nodeNames.flatMap((name) => {
    const text = readFileSync(join(folder, `${name}.cpuprofile`), "utf8");
    const profile = JSON.parse(text) as ProcessorProfile;
    return [
      ...sumStageTimes(profile, { getModule, bundleName, from, to }),
    ];
  });
  const sum = times.reduce((total, [, time]) => total + time, 0);
  return times.reduce(
    (sums, [stage, time]) =>
      sums.set(stage, (sums.get(stage) ?? 0) + callMicroseconds * time / sum),
    new Map<CallStage, number>(),
  );
}

function getMicroseconds(): number {
  return Number(process.hrtime.bigint() / nanosecondsPerMicrosecond);
}

function sumProcessorMilliseconds(nodes: readonly ChildProcess[]): number {
  return nodes.reduce((sum, { pid }) => {
    const usage = parseProcessUsage(readFileSync(`/proc/${pid}/stat`, "utf8"));
    return sum + usage.processorMilliseconds;
  }, 0);
}

function createSettings(
  host: string,
  nodesHost: string,
  service: string,
): readonly string[] {
  return [
    `node=vm-${service}`,
    "zone=zone-a",
    `service=${service}`,
    `appAddr=${host}:${port.backend}`,
    `listen.inbound=${nodesHost}:${port.nodes}`,
    `listen.outbound=${host}:${port.callers}`,
    `listen.ready=${host}:${port.readiness}`,
    `provider.addr=${callersHost}:${port.store}`,
  ];
}

/** All entries but the first are on hosts that lead to the same node. */
function createEntry(index: number): unknown {
  const block = 1 + Math.floor(index / hostsPerBlock);
  const host = index === 0
    ? serversHost
    : `127.0.${block}.${1 + index % hostsPerBlock}`;
  return {
    addr: `${host}:${port.backend}`,
    info: { service: "shop", zone: "zone-a", slots: 64 },
    status: { state: "ready", seq: 1, coldLeft: "0ms" },
  };
}

function createRules(): unknown {
  const service = {
    healthPath: "/healthz",
    maxConns: 200,
    cold: "1s",
    coldPerS: 20,
  };
  return {
    version: 1,
    routes: {
      look: {
        host: "shop.example",
        prefix: "/look/",
        kind: "idempotent",
        timeout: "4s",
        goal: "1s",
        priority: 2,
        attempts: 2,
        service: "shop",
      },
    },
    services: { shop: service, counter: service },
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_048_576,
      headerTimeout: "3s",
      idleTimeout: "15s",
    },
  };
}
