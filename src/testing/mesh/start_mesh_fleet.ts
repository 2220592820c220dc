import { startMeshNode } from "../../mesh/start_mesh_node.ts";
import type { CallEvent } from "../../mesh/call_event.ts";
import type { MeshDaemon } from "../../mesh/mesh_daemon.ts";
import type { MeshSettings } from "../../mesh/mesh_settings.ts";
import { BackendServerAvailability } from "../../register/backend_server_availability.ts";
import type { RegisterEntry } from "../../register/register_entry.ts";
import { createRandomSource } from "../../runtime/create_random_source.ts";
import { createMonotonicClock } from "../../runtime/create_monotonic_clock.ts";
import { createSystemTimers } from "../../runtime/create_system_timers.ts";
import { SourceValueKind } from "../../source/source_value_kind.ts";
import { waitUntil } from "../calls/wait_until.ts";
import { createFleetRules } from "./create_fleet_rules.ts";
import { createSourceFake } from "./create_source_fake.ts";
import type { MeshBackend } from "./mesh_backend.ts";
import type { MeshCall } from "./mesh_call.ts";
import type { MeshFleet } from "./mesh_fleet.ts";
import type { MeshFleetOptions } from "./mesh_fleet_options.ts";
import { findPortsFreeOnHosts } from "./find_ports_free_on_hosts.ts";
import { sendMeshCall } from "./send_mesh_call.ts";
import { startMeshBackend } from "./start_mesh_backend.ts";
import { testDialect } from "./test_dialect.ts";

const service = "vitrine";
const zones = ["sul-a", "sul-b", "sul-c"];
const defaultSlots = 4;

/**
 * Starts a fleet and waits until every node is ready. The rules and all
 * register entries are published before the nodes start, so that a ready node
 * has them all.
 */
export async function startMeshFleet(
  options: MeshFleetOptions,
): Promise<MeshFleet> {
  const indexes = Array.from({ length: options.vms }, (_, index) => index);
  const source = createSourceFake();
  const backends = await Promise.all(
    indexes.map((index) =>
      startMeshBackend({
        host: getHost(index),
        identifier: `server-${index}`,
      })
    ),
  );
  const ports = await findPortsFreeOnHosts(indexes.map(getHost), { count: 3 });
  const settings = backends.map((backend, index) =>
    createSettings(backend, {
      index,
      ports,
      stopMilliseconds: options.stopMilliseconds ?? 1_000,
      withdrawalMilliseconds: options.withdrawalMilliseconds,
      addressReuseMilliseconds: options.addressReuseMilliseconds ?? 2_000,
    })
  );
  const events: CallEvent[] = [];
  const reports: string[] = [];
  const entries = backends.map((backend, index) =>
    createEntry(backend, { index, slots: options.slots ?? defaultSlots })
  );
  const rules = createFleetRules(service, options.route ?? {});
  source.put("rules", {
    kind: SourceValueKind.Rules,
    rules: { ...rules, limits: { ...rules.limits, ...options.limits } },
  });
  entries.forEach(publish);
  const daemons = await Promise.all(
    settings.map((_, index) => startNode(index)),
  );
  let callCount = 0;

  function publish(entry: RegisterEntry): void {
    source.put(`server/${entry.identifier}`, {
      kind: SourceValueKind.BackendServer,
      entry,
    });
  }

  async function startNode(index: number): Promise<MeshDaemon> {
    const clock = createMonotonicClock();
    const timers = createSystemTimers(clock);
    const timerDelay = options.timerDelays?.get(index) ?? 0;
    const started = await startMeshNode(settings[index]!, {
      dialect: testDialect,
      source: source.createClient(),
      clock,
      timers: {
        at: (instant, callback) => timers.at(instant + timerDelay, callback),
      },
      random: createRandomSource(1),
      report: {
        call: (event) => {
          events.push(event);
          reports.push(JSON.stringify(event));
        },
        viewChange: (change) => void reports.push(JSON.stringify(change)),
        state: (subject, fields) =>
          void reports.push(JSON.stringify({ subject, ...fields })),
      },
    });
    if (started.isErr) throw new Error("Test node failed to start");
    return started.value;
  }

  const fleet: MeshFleet = {
    source,
    backends,
    settings,
    daemons,
    events,
    reports,
    publishServer: (index, change) => {
      const entry = { ...entries[index]!, ...change };
      entries[index] = { ...entry, sequence: entry.sequence + 1 };
      publish(entries[index]);
    },
    call: (index, call: MeshCall = {}) => {
      callCount += 1;
      return sendMeshCall(settings[index]!.listeners.callers, {
        identifier: `call-${callCount}`,
        ...call,
      });
    },
    restart: async (index) => {
      await daemons[index]!.stop();
      daemons[index] = await startNode(index);
    },
    fetchReadinessStatus: async (index) => {
      const { status } = await sendMeshCall(
        settings[index]!.listeners.readiness,
        { identifier: "readiness" },
      );
      return status;
    },
    close: async () => {
      await Promise.all(daemons.map((daemon) => daemon.stop()));
      await Promise.all(backends.map((backend) => backend.close()));
    },
  };
  const ready = await Promise.all(
    indexes.map(async (index) => {
      let status = 0;
      return await waitUntil(() => {
        if (status === 200) return true;
        void fleet.fetchReadinessStatus(index).then((readinessStatus) => {
          status = readinessStatus;
        });
        return false;
      });
    }),
  );
  if (!ready.every((isReady) => isReady)) {
    throw new Error("Test node did not become ready in time");
  }
  return fleet;
}

function getHost(index: number): string {
  return `127.0.0.${index + 1}`;
}

function createSettings(
  backend: MeshBackend,
  options: {
    readonly index: number;
    readonly ports: readonly number[];
    readonly stopMilliseconds: number;
    readonly withdrawalMilliseconds: number | undefined;
    readonly addressReuseMilliseconds: number;
  },
): MeshSettings {
  const host = getHost(options.index);
  const { withdrawalMilliseconds } = options;
  const [callers = 0, nodes = 0, readiness = 0] = options.ports;
  return {
    vm: `vm-${options.index}`,
    zone: zones[options.index % zones.length]!,
    service,
    backendServer: backend.address,
    addressReuseMilliseconds: options.addressReuseMilliseconds,
    listeners: {
      callers: { host, port: callers },
      nodes: { host, port: nodes },
      readiness: { host, port: readiness },
      metrics: undefined,
    },
    source: { host, port: 1 },
    sourceBounds: {
      changeMilliseconds: 2_000,
      contactMilliseconds: 3_000,
      ...(withdrawalMilliseconds === undefined
        ? {}
        : { withdrawalMilliseconds }),
    },
    retryAllowance: { ratio: 0.2, slack: 60, windowMilliseconds: 10_000 },
    quotaBounds: {
      windowMilliseconds: 5_000,
      excessRatio: 0.25,
      slackCalls: 20,
    },
    coldAllowance: { factor: 1.5, slack: 5 },
    linkMegabitsPerSecond: 1_000,
    stopMilliseconds: options.stopMilliseconds,
  };
}

function createEntry(
  backend: MeshBackend,
  options: { readonly index: number; readonly slots: number },
): RegisterEntry {
  return {
    identifier: backend.identifier,
    service,
    address: backend.address,
    zone: zones[options.index % zones.length]!,
    slots: options.slots,
    availability: BackendServerAvailability.Ready,
    coldUntil: 0,
    bornAt: 1,
    sequence: 1,
  };
}
