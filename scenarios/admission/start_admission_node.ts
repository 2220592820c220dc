import Result from "true-myth/result";
import { createAdmissionRuntime } from "../../src/admission/create_admission_runtime.ts";
import { createTestSettings } from "../../src/admission/testing/create_test_settings.ts";
import { createTestSnapshot } from "../../src/admission/testing/create_test_snapshot.ts";
import type { BackendServerProbe } from "../../src/health/backend_server_probe.ts";
import { isCold } from "../../stand_ins/backend_server/is_cold.ts";
import type { AdmissionSimulation } from "./admission_simulation.ts";

/** Starts the node beside the simulated backend server. */
export function startAdmissionNode(simulation: AdmissionSimulation): void {
  const { environment } = simulation;
  const probe = (): BackendServerProbe => ({
    reportedState: simulation.reportedState ?? getActualState(simulation),
    running: simulation.capacity.running,
    sentAt: environment.clock.now(),
  });
  simulation.node = createAdmissionRuntime({
    settings: createTestSettings(),
    environment,
    prober: {
      probe: () => Promise.resolve(Result.ok(probe())),
      close: () => Promise.resolve(),
    },
  });
  simulation.node.applySnapshot(createTestSnapshot(simulation.register));
  simulation.node.start();
}

function getActualState(
  simulation: AdmissionSimulation,
): BackendServerProbe["reportedState"] {
  if (simulation.capacity.draining) {
    return "draining";
  }
  return isCold(simulation.capacity) ? "cold" : "ready";
}
