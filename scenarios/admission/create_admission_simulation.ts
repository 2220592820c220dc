import { createTestEnvironment } from "../../src/admission/testing/create_test_environment.ts";
import { backendServerSettingsSchema } from "../../stand_ins/backend_server/backend_server_settings_schema.ts";
import { createCapacityState } from "../../stand_ins/backend_server/create_capacity_state.ts";
import type { AdmissionSimulation } from "./admission_simulation.ts";

const seed = 4;
const workMilliseconds = 20;

/** Creates a simulation whose backend server has twelve slots and has just started. */
export function createAdmissionSimulation(): AdmissionSimulation {
  const register = { slots: 12, coldSlots: 2 };
  return {
    environment: createTestEnvironment(seed),
    capacity: createCapacityState(
      backendServerSettingsSchema.parse({ name: "encomendas-1", ...register }),
    ),
    peakExcess: 0,
    node: undefined,
    register,
    reportedState: undefined,
    calls: [],
    workMilliseconds,
  };
}
