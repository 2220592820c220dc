import { createAdmissionRuntime } from "../admission/create_admission_runtime.ts";
import type { Snapshot } from "../configuration/snapshot.ts";
import { markLeavingVm } from "../configuration/mark_leaving_vm.ts";
import { createDistributionRuntime } from "../distribution/create_distribution_runtime.ts";
import { addControlTraffic } from "../peers/add_control_traffic.ts";
import type { NodeState } from "../peers/node_state.ts";
import type { NodeEnvironment } from "../runtime/node_environment.ts";
import type { CallObservation } from "../telemetry/call_observation.ts";
import { createCallsRuntime } from "./calls/create_calls_runtime.ts";
import { createBackendServerProber } from "./create_backend_server_prober.ts";
import { createControlClient } from "./create_control_client.ts";
import { createLeavingWatch } from "./create_leaving_watch.ts";
import { createPlatformClient } from "./create_platform_client.ts";
import type { NodeRuntimes } from "./node_runtimes.ts";
import type { NodeSettings } from "./node_settings.ts";
import type { ServedControlTraffic } from "./served_control_traffic.ts";

/** Creates the runtimes of a node and the clients that execute their effects. */
export function createNodeRuntimes(
  settings: NodeSettings,
  options: {
    readonly environment: NodeEnvironment;
    readonly getState: () => NodeState;
    /** Called after a snapshot has been put in force. */
    readonly onSnapshot: (snapshot: Snapshot) => void;
    readonly servedTraffic: ServedControlTraffic;
    readonly observe: (observation: CallObservation) => void;
  },
): NodeRuntimes {
  const environment = options.environment;
  const controlClient = createControlClient(environment);
  const platformClient = createPlatformClient({
    address: settings.platform,
    clock: environment.clock,
  });
  const prober = settings.backendServer === null
    ? undefined
    : createBackendServerProber(settings.backendServer.address, environment);
  const admission = createAdmissionRuntime({ settings, environment, prober });
  const distribution = createDistributionRuntime({
    settings,
    environment,
    controlClient,
    platformClient,
    getControlTraffic: () =>
      addControlTraffic(
        controlClient.getTraffic(),
        options.servedTraffic.getTraffic(),
      ),
    getOwnState: () => {
      const status = admission.getStatus();
      return {
        state: options.getState(),
        backendServerState: status.backendServerState,
        freeSlots: status.freeSlots,
      };
    },
    prepareSnapshot: (snapshot) => calls.prepareSnapshot(snapshot),
    applySnapshot: (snapshot) => {
      calls.applySnapshot(snapshot);
      admission.applySnapshot(createAdmissionSnapshot(snapshot));
      options.onSnapshot(snapshot);
    },
  });
  const isLeaving = () => distribution.getLeavingVms().has(settings.vm);
  const createAdmissionSnapshot = (snapshot: Snapshot) =>
    isLeaving() ? markLeavingVm(snapshot, settings.vm) : snapshot;
  const leavingWatch = createLeavingWatch({
    environment,
    isLeaving,
    onChange: () => {
      const snapshot = distribution.getSnapshot();
      if (snapshot !== undefined) {
        admission.applySnapshot(createAdmissionSnapshot(snapshot));
      }
    },
  });
  const calls = createCallsRuntime({
    settings,
    environment,
    admission,
    controlClient,
    getPeers: () => distribution.getPeers(),
    getGoneVms: () => distribution.getGoneVms(),
    observe: options.observe,
  });
  return {
    admission,
    calls,
    distribution,
    leavingWatch,
    closeClients: async () => {
      await Promise.all([
        controlClient.close(),
        platformClient.close(),
        prober?.close(),
      ]);
    },
  };
}
