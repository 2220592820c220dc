import Result from "true-myth/result";
import { createAdmissionRuntime } from "../../src/admission/create_admission_runtime.ts";
import { createTestSettings } from "../../src/admission/testing/create_test_settings.ts";
import { createTestSnapshot } from "../../src/admission/testing/create_test_snapshot.ts";
import type { BackendServerProbe } from "../../src/health/backend_server_probe.ts";
import { isCold } from "../../stand_ins/backend_server/is_cold.ts";
import type { AdmissionWorld } from "./admission_simulation.ts";

/** Starts the node beside the world's backend server. */
export function startAdmissionNode(world: AdmissionWorld): void {
  const { environment } = world;
  const probe = (): BackendServerProbe => ({
    reportedState: world.reportedState ?? getTrueState(world),
    running: world.capacity.running,
    sentAt: environment.clock.now(),
  });
  world.node = createAdmissionRuntime({
    settings: createTestSettings(),
    environment,
    prober: {
      probe: () => Promise.resolve(Result.ok(probe())),
      close: () => Promise.resolve(),
    },
  });
  world.node.applySnapshot(createTestSnapshot(world.register));
  world.node.start();
}

function getTrueState(
  world: AdmissionWorld,
): BackendServerProbe["reportedState"] {
  if (world.capacity.draining) {
    return "draining";
  }
  return isCold(world.capacity) ? "cold" : "ready";
}
