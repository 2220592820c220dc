import { Result } from "true-myth";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { deleteExpiredSuspects } from "../quarantine/delete_expired_suspects.ts";
import type { Clock } from "../runtime/clock.ts";
import type { RandomSource } from "../runtime/random_source.ts";
import { readLoopCounts } from "../runtime/read_loop_counts.ts";
import { recordLoopCheck } from "../runtime/record_loop_check.ts";
import type { Timers } from "../runtime/timers.ts";
import type { SourceClient } from "../source/source_client.ts";
import type { CallDialect } from "./call_dialect.ts";
import { closeNodesListener } from "./close_nodes_listener.ts";
import { createHolderLookup } from "./create_holder_lookup.ts";
import { createLoopLagReport } from "./create_loop_lag_report.ts";
import { createMeshNode } from "./create_mesh_node.ts";
import { followMeshSource } from "./follow_mesh_source.ts";
import { maintenanceIntervalMilliseconds } from "./maintenance_interval_milliseconds.ts";
import type { MeshDaemon } from "./mesh_daemon.ts";
import type { MeshReporter } from "./mesh_reporter.ts";
import type { MeshSettings } from "./mesh_settings.ts";
import { openMeshListeners } from "./open_mesh_listeners.ts";
import { probeBackendServer } from "./probe_backend_server.ts";
import { reloadSettings } from "./reload_settings.ts";
import { stopMeshNode } from "./stop_mesh_node.ts";
import { updateGate } from "./update_gate.ts";

/** Starts a node. Fails if a listener cannot be bound. */
export async function startMeshNode(
  settings: MeshSettings,
  options: {
    readonly dialect: CallDialect;
    readonly source: SourceClient;
    readonly clock: Clock;
    readonly timers: Timers;
    readonly random: RandomSource;
    readonly report: MeshReporter;
  },
): Promise<Result<MeshDaemon, Diagnostic>> {
  const node = createMeshNode(settings, options);
  const opened = await openMeshListeners(node);
  if (opened.isErr) return Result.err(opened.error);
  const listeners = opened.value;
  const [callers, nodes] = listeners;
  const follower = followMeshSource(node, { client: options.source, callers });
  const reportLoopLag = createLoopLagReport(node.report, {
    lag: node.loopLag,
    readCounts: readLoopCounts,
  });
  const maintenance = setInterval(() => {
    const now = node.clock.now();
    reportLoopLag(now);
    recordLoopCheck(node.loopLag, {
      intervalMilliseconds: maintenanceIntervalMilliseconds,
      now,
    });
    node.offers.recent.sweep(now);
    node.sentCalls.sweep(now);
    deleteExpiredSuspects(node.quarantine, now);
    // A backend server that comes back does not wait for the next round.
    probeBackendServer(node, { onEnd: lookUpHolder });
    updateGate(node);
    lookUpHolder();
  }, maintenanceIntervalMilliseconds);
  const lookUpHolder = createHolderLookup(node, options.source);
  let stopping: Promise<number> | undefined;

  async function stop(): Promise<number> {
    node.servedConnections.forEach((connection) => connection.announceStop());
    const cutCalls = await stopMeshNode(node);
    clearInterval(maintenance);
    follower.stop();
    if (nodes !== undefined) await closeNodesListener(node, nodes);
    listeners.forEach((listener) => listener.destroy());
    node.servedConnections.forEach((connection) => connection.destroy());
    node.offerConnections.open.forEach((connection) => connection.close());
    node.backendAgent.destroy();
    node.probeAgent.destroy();
    node.recentBackendAgent.destroy();
    node.nodesAgent.destroy();
    return cutCalls;
  }

  return Result.ok({
    reload: (changed) => reloadSettings(node, changed),
    stop: () => stopping ??= stop(),
  });
}
