import { getRequestListener } from "@hono/node-server";
import { Result } from "true-myth";
import type { Version } from "../configuration/version.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { createPauseWatch } from "../health/create_pause_watch.ts";
import { NodeEventKind } from "../lifecycle/node_event_kind.ts";
import { NodeState } from "../peers/node_state.ts";
import { createNodeMetrics } from "../telemetry/create_node_metrics.ts";
import { createControlListener } from "./create_control_listener.ts";
import { createNodeLifecycle } from "./create_node_lifecycle.ts";
import { createNodeRuntimes } from "./create_node_runtimes.ts";
import { createStopControls } from "./create_stop_controls.ts";
import { createOperatorApplication } from "./create_operator_application.ts";
import { createSystemEnvironment } from "./create_system_environment.ts";
import { createServedControlTraffic } from "./create_served_control_traffic.ts";
import { getNodeGauges } from "./get_node_gauges.ts";
import { getNodeStatus } from "./get_node_status.ts";
import type { NodeDaemon } from "./node_daemon.ts";
import type { NodeSettings } from "./node_settings.ts";
import type { NodeStatus } from "./node_status.ts";
import { openNodeListeners } from "./open_node_listeners.ts";

const callPath = "/call";

/** A control request may carry every part of a configuration, and JSON escapes enlarge it. */
const controlBytesPerConfigurationByte = 2;

/** Starts a node in this process; fails if a listener cannot be bound. */
export async function createNodeDaemon(
  settings: NodeSettings,
): Promise<Result<NodeDaemon, Diagnostic>> {
  let version: Version | undefined;
  const { environment, auditTrail } = createSystemEnvironment(
    settings,
    () => version,
  );
  const startedAt = environment.clock.now();
  const servedTraffic = createServedControlTraffic();
  const metrics = createNodeMetrics(() =>
    getNodeGauges(getStatus(), isReady())
  );
  const lifecycle = createNodeLifecycle({
    auditTrail,
    onChange: (state) =>
      runtimes.calls.setConfirmingView(state === NodeState.ConfirmingView),
  });
  const runtimes = createNodeRuntimes(settings, {
    environment,
    servedTraffic,
    getState: lifecycle.getState,
    observe: metrics.observe,
    onSnapshot: (snapshot) => {
      version = snapshot.version;
      lifecycle.handleEvent(NodeEventKind.ConfigurationInForce);
    },
  });
  const pauseWatch = createPauseWatch({
    environment,
    settings,
    onPause: () => {
      lifecycle.handleEvent(NodeEventKind.PauseDetected);
      runtimes.distribution.confirmView()
        .then(() => lifecycle.handleEvent(NodeEventKind.ViewConfirmed));
    },
  });

  function isReady(): boolean {
    return lifecycle.getState() === NodeState.Serving;
  }

  function getStatus(): NodeStatus {
    return getNodeStatus(runtimes, {
      settings,
      startedAt,
      at: environment.clock.now(),
      state: lifecycle.getState(),
      latencies: metrics.getLatencies(),
    });
  }

  const operators = createOperatorApplication({
    isReady,
    getStatus,
    renderMetrics: metrics.render,
    getDocument: () => runtimes.distribution.getDocument(),
    auditTrail,
  });
  const handleControl = createControlListener({
    calls: runtimes.calls.handleControlMethod,
    distribution: runtimes.distribution.handleControlMethod,
    log: environment.log,
    traffic: servedTraffic,
    bodyBytesMaximum: settings.limits.configurationBytes *
      controlBytesPerConfigurationByte,
  });
  const opened = await openNodeListeners(settings, {
    callers: (request, response) => {
      // After a pause of the process, requests may be handled before its timers fire.
      pauseWatch.check();
      runtimes.calls.handleCallerRequest(request, response);
    },
    nodes: (request, response) => {
      pauseWatch.check();
      if (request.url === callPath) {
        runtimes.calls.handleForwardedCall(request, response);
        return;
      }
      handleControl(request, response);
    },
    operators: getRequestListener(operators.fetch),
  });
  if (opened.isErr) {
    await runtimes.closeClients();
    return Result.err(opened.error);
  }
  const listeners = opened.value;
  pauseWatch.start();
  runtimes.admission.start();
  runtimes.distribution.start();
  runtimes.leavingWatch.start();

  return Result.ok({
    addresses: {
      callers: listeners.callers.address,
      nodes: listeners.nodes.address,
      operators: listeners.operators.address,
    },
    ...createStopControls({
      runtimes,
      listeners,
      environment,
      drainMilliseconds: settings.timing.drainMilliseconds,
      onStop: () => {
        lifecycle.handleEvent(NodeEventKind.StopRequested);
        pauseWatch.stop();
      },
    }),
  });
}
