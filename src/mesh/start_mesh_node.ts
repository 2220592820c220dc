import { Result } from "true-myth";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { openListener } from "../daemon/open_listener.ts";
import { refuseBrokenRequest } from "../daemon/refuse_broken_request.ts";
import type { Listener } from "../daemon/listener.ts";
import { createGateState } from "../gate/create_gate_state.ts";
import type { Clock } from "../runtime/clock.ts";
import type { RandomSource } from "../runtime/random_source.ts";
import type { Timers } from "../runtime/timers.ts";
import { createSourceFeed } from "../source/create_source_feed.ts";
import { endFeed } from "../source/end_feed.ts";
import { followSource } from "../source/follow_source.ts";
import type { SourceClient } from "../source/source_client.ts";
import type { CallDialect } from "./call_dialect.ts";
import { createNeighbourFeeds } from "./create_neighbour_feeds.ts";
import { applyCallerLimits } from "./apply_caller_limits.ts";
import { createConnectionAgent } from "./create_connection_agent.ts";
import { createMeshMetrics } from "./create_mesh_metrics.ts";
import { createMeshView } from "./create_mesh_view.ts";
import { forgetGateViews } from "./forget_gate_views.ts";
import type { MeshDaemon } from "./mesh_daemon.ts";
import type { MeshNode } from "./mesh_node.ts";
import type { MeshReport } from "./mesh_report.ts";
import type { MeshSettings } from "./mesh_settings.ts";
import { passOnReading } from "./pass_on_reading.ts";
import { probeBackendServer } from "./probe_backend_server.ts";
import { serveCallerRequest } from "./serve_caller_request.ts";
import { serveNeighbour } from "./serve_neighbour.ts";
import { reloadSettings } from "./reload_settings.ts";
import { serveMetrics } from "./serve_metrics.ts";
import { serveReadiness } from "./serve_readiness.ts";
import { stopMeshNode } from "./stop_mesh_node.ts";
import { takeSourceReading } from "./take_source_reading.ts";
import { updateGate } from "./update_gate.ts";

/** Below the shortest idle time of a usual backend server, so that this side closes first. */
const backendIdleMilliseconds = 4_000;
/** A backend server may drop idle connections without notice; a reset leaves open whether a request ran. */
const recentIdleMilliseconds = 500;
/** Below the idle time of the listeners of other nodes. */
const nodeIdleMilliseconds = 20_000;
const headerBytesMaximum = 65_536;
/** How often heads of callers that have not arrived in time are looked for. */
const headCheckMilliseconds = 1_000;
/** How often checks and ages are looked at; each look wakes the process. */
const upkeepMilliseconds = 100;

/** Starts a node; fails where a listener cannot be bound. */
export async function startMeshNode(
  settings: MeshSettings,
  options: {
    readonly dialect: CallDialect;
    readonly source: SourceClient;
    readonly clock: Clock;
    readonly timers: Timers;
    readonly random: RandomSource;
    readonly report: MeshReport;
  },
): Promise<Result<MeshDaemon, Diagnostic>> {
  const node = createNode(settings, options);
  const opened = await openListeners(node);
  if (opened.isErr) return Result.err(opened.error);
  const [callers] = opened.value;
  const neighbours = createNeighbourFeeds(node);
  const follower = followSource({
    neighbours,
    client: options.source,
    random: options.random,
    getBounds: () => node.settings.sourceBounds,
    wait: (milliseconds) =>
      new Promise((resolve) =>
        node.timers.at(node.clock.now() + milliseconds, resolve)
      ),
    handler: {
      onReading: (reading, { complete, direct }) => {
        const now = node.clock.now();
        if (direct) passOnReading(node, reading, { complete });
        takeSourceReading(node.view, reading, { complete, now })
          .forEach(node.report.belief);
        applyCallerLimits(node, callers);
        forgetGateViews(node);
        updateGate(node);
      },
      onLost: (failure) => {
        node.view.sourceSoundSince = Number.POSITIVE_INFINITY;
        endFeed(node.feed);
        node.report.state("source", { state: "lost", ...failure });
        updateGate(node);
      },
      onRegained: () => {
        node.view.sourceSoundSince = node.clock.now();
        node.report.state("source", { state: "regained" });
      },
    },
  });
  const upkeep = setInterval(() => {
    probeBackendServer(node);
    updateGate(node);
  }, upkeepMilliseconds);
  return Result.ok({
    reload: (changed) => reloadSettings(node, changed),
    stop: async () => {
      const cut = await stopMeshNode(node);
      clearInterval(upkeep);
      follower.stop();
      opened.value.forEach((listener) => listener.destroy());
      node.backendAgent.destroy();
      node.recentBackendAgent.destroy();
      node.nodesAgent.destroy();
      return cut;
    },
  });
}

function createNode(
  settings: MeshSettings,
  options: Pick<
    MeshNode,
    "dialect" | "clock" | "timers" | "random" | "report"
  >,
): MeshNode {
  const { dialect, clock, timers, random } = options;
  const metrics = createMeshMetrics();
  const report: MeshReport = {
    ...options.report,
    call: (event) => {
      metrics.observe(event);
      options.report.call(event);
    },
  };
  return {
    settings,
    dialect,
    clock,
    timers,
    random,
    report,
    metrics,
    view: createMeshView(),
    feed: createSourceFeed(),
    gate: createGateState(clock.now()),
    slotWaiters: new Map(),
    gateTimer: undefined,
    serverWatch: {
      probedIdentifier: undefined,
      probedAt: 0,
      nextProbeAt: 0,
      probing: false,
    },
    backendAgent: createConnectionAgent(backendIdleMilliseconds),
    recentBackendAgent: createConnectionAgent(recentIdleMilliseconds),
    nodesAgent: createConnectionAgent(nodeIdleMilliseconds),
    gateViews: new Map(),
    splits: new Map(),
    retryCounts: new Map(),
    answerBytes: new Map(),
    longestRemaining: new Map(),
    callerCalls: 0,
    stopping: false,
    callersEndAt: Number.POSITIVE_INFINITY,
    gateClosesAt: Number.POSITIVE_INFINITY,
  };
}

async function openListeners(
  node: MeshNode,
): Promise<Result<readonly Listener[], Diagnostic>> {
  const { callers, nodes, readiness, metrics } = node.settings.listeners;
  const common = {
    requestHeaderBytes: headerBytesMaximum,
    onBrokenRequest: refuseBrokenRequest,
  };
  const opened = await Promise.all([
    openListener({
      ...common,
      address: callers,
      headCheckMilliseconds,
      onRequest: (request, response) =>
        serveCallerRequest(node, request, response),
    }),
    openListener({
      ...common,
      address: nodes,
      onRequest: (request, response) => serveNeighbour(node, request, response),
    }),
    openListener({
      ...common,
      address: readiness,
      onRequest: (_request, response) => serveReadiness(node, response),
    }),
    ...(metrics === undefined ? [] : [openListener({
      ...common,
      address: metrics,
      onRequest: (_request, response) => serveMetrics(node, response),
    })]),
  ]);
  const failed = opened.find((result) => result.isErr);
  if (failed?.isErr) return Result.err(failed.error);
  return Result.ok(
    opened.flatMap((result) => result.isOk ? [result.value] : []),
  );
}
