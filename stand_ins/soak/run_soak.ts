import { mkdtempSync, rmSync } from "node:fs";
import { Agent } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { groupBy } from "../../src/collections/group_by.ts";
import type { RandomSource } from "../../src/runtime/random_source.ts";
import { createSeededRandom } from "../common/create_seeded_random.ts";
import { startStoreServer } from "../store/start_store_server.ts";
import { applySoakFault } from "./apply_soak_fault.ts";
import { createSoakPlan } from "./create_soak_plan.ts";
import { createSoakRules } from "./create_soak_rules.ts";
import { findSoakViolations } from "./find_soak_violations.ts";
import { listDisturbances } from "./list_disturbances.ts";
import { sendSoakCall } from "./send_soak_call.ts";
import { soakKeys } from "./soak_keys.ts";
import type { SoakCall } from "./soak_call.ts";
import type { SoakOptions } from "./soak_options.ts";
import type { SoakRecord } from "./soak_record.ts";
import type { SoakReport } from "./soak_report.ts";
import type { SoakVm } from "./soak_vm.ts";
import { startSoakVm } from "./start_soak_vm.ts";

const millisecondsPerSecond = 1_000;
const warmUpMilliseconds = 1_500;
const heartbeatIntervalMilliseconds = 500;
const callDelayMaximumMilliseconds = 60;
/** The time that operators allow until a change is in force on every node after the last fault. */
const changeMilliseconds = 3_000;
/** Duration of the traffic after `settledAt`, in which a change that is not in force is a violation. */
const verificationMilliseconds = 1_500;
const nonIdempotentShare = 0.4;
/** Share of the calls that send a request which crashes backend servers, while there is one. */
const crashingShare = 0.05;
const callersPerVm = 3;
const callsPerKeyedCall = 4;
/** Keys that take turns: the lasting one, and those of the last versions. */
const keyCount = 6;

/** Runs one soak with real node processes and faults from outside, and checks the promises against everything observed. */
export async function runSoak(
  options: SoakOptions & {
    readonly program: string;
    readonly basePort: number;
  },
): Promise<SoakReport> {
  const folder = mkdtempSync(join(tmpdir(), "catkinquay-soak-"));
  const random = createSeededRandom(options.seed);
  const record: SoakRecord = {
    calls: new Map(),
    runs: [],
    limits: [],
    withdrawnAt: new Map(),
    disturbances: [],
    settledAt: Number.POSITIVE_INFINITY,
  };
  const store = await startStoreServer({ host: "127.0.0.1", port: 0 });
  let version = 0;
  const publishRules = () => {
    version += 1;
    store.put("op/config", createSoakRules(version));
    record.withdrawnAt.set(soakKeys.ofVersion(version - 2), Date.now());
  };
  publishRules();
  const crashingUrls: string[] = [];
  const zonesTakenOut = new Set<string>();
  const rewrite = () => {
    store.put("op/config", createSoakRules(version));
    vms.forEach(({ zone }) => {
      const key = `op/evacuate/${zone}`;
      if (zonesTakenOut.has(zone)) store.put(key, {});
      else store.remove(key);
    });
  };
  const vms = await Promise.all(
    Array.from(
      { length: options.vms },
      (_, index) =>
        startSoakVm(index, { ...options, folder, store, record, random }),
    ),
  );
  const heartbeatTimer = setInterval(
    () => vms.forEach((vm) => vm.publishHeartbeat("ready")),
    heartbeatIntervalMilliseconds,
  );
  await delay(warmUpMilliseconds);
  const plan = createSoakPlan(options);
  const lastFaultEndsAt = Math.max(...plan.map(({ endsAt }) => endsAt));
  record.disturbances.push(
    ...listDisturbances(plan, { startedAt: Date.now() }),
  );
  record.settledAt = Date.now() + lastFaultEndsAt + changeMilliseconds;
  const faults = plan.map(async (fault) => {
    await delay(fault.startsAt);
    const vm = vms[fault.vm]!;
    const endFault = applySoakFault(fault, {
      vm,
      store,
      zonesTakenOut,
      publishRules,
      crashingUrls,
      rewrite,
    });
    await delay(fault.endsAt - fault.startsAt);
    await endFault();
  });
  const endsAt = Math.max(
    Date.now() + options.seconds * millisecondsPerSecond,
    record.settledAt + verificationMilliseconds,
  );
  const callers = vms.flatMap((vm, index) =>
    Array.from({ length: callersPerVm }, (_, caller) =>
      sendCalls({
        vm,
        record,
        random,
        endsAt,
        name: `${index}-${caller}`,
        index,
        getVersion: () => version,
        crashingUrls,
      }))
  );
  await Promise.all([...faults, ...callers]);
  clearInterval(heartbeatTimer);
  await Promise.all(vms.map(stopVm));
  await store.close();
  rmSync(folder, { recursive: true, force: true });
  const calls = Array.from(record.calls.values());
  const violations = findSoakViolations(record);
  return {
    seed: options.seed,
    faults: plan,
    calls: calls.length,
    statuses: Object.fromEntries(
      Array.from(groupBy(calls, ({ status }) => String(status ?? 0)))
        .map(([status, group]) => [status, group.length]),
    ),
    violations,
    logs: violations.length > 0
      ? vms.flatMap(({ node }) => node.getOutput())
      : [],
  };
}

async function sendCalls(
  options: {
    readonly vm: SoakVm;
    readonly record: SoakRecord;
    readonly random: RandomSource;
    readonly endsAt: number;
    readonly name: string;
    readonly index: number;
    readonly getVersion: () => number;
    readonly crashingUrls: readonly string[];
  },
): Promise<void> {
  const { vm, record, random } = options;
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  let count = 0;
  while (Date.now() < options.endsAt) {
    count += 1;
    const identifier = `call-${options.name}-${count}`;
    const crashingUrl = random.next() < crashingShare
      ? options
        .crashingUrls[Math.floor(random.next() * options.crashingUrls.length)]
      : undefined;
    const idempotent = crashingUrl !== undefined ||
      random.next() > nonIdempotentShare;
    const publicRoute = idempotent
      ? random.next() < 0.7 ? "look" : `v${options.getVersion()}`
      : "order";
    const key = idempotent && crashingUrl === undefined
      ? chooseKey(count, { version: options.getVersion() })
      : undefined;
    const route = key === undefined ? publicRoute : "keyed";
    const call: SoakCall = {
      identifier,
      idempotent,
      callerService: vm.service,
      ...(key === undefined ? {} : { key }),
      url: crashingUrl ?? `/${route}/${identifier}`,
      sentAt: Date.now(),
      vm: options.index,
      incarnation: vm.node.getIncarnation(),
      status: undefined,
      whole: false,
    };
    record.calls.set(identifier, call);
    await sendSoakCall(call, { agent, address: vm.callers });
    await delay(random.next() * callDelayMaximumMilliseconds);
  }
  agent.destroy();
}

/** Returns the key of every fourth call, undefined for others; some of the keys have been withdrawn. */
function chooseKey(
  count: number,
  { version }: { readonly version: number },
): string | undefined {
  if (count % callsPerKeyedCall !== 0) return undefined;
  const turn = count / callsPerKeyedCall % keyCount;
  return turn === 0 ? soakKeys.lasting : soakKeys.ofVersion(version - turn + 1);
}

async function stopVm(vm: SoakVm): Promise<void> {
  vm.node.signal("SIGCONT");
  vm.node.signal("SIGKILL");
  await vm.node.waitForExit();
  vm.nodesRelay.close();
  vm.storeRelay.close();
  await vm.backend.close();
}
