import { admissionSteps } from "./admission/admission_steps.ts";
import { createAdmissionSimulation } from "./admission/create_admission_simulation.ts";
import { createFleetSimulation } from "./fleet/create_fleet_simulation.ts";
import { fleetSteps } from "./fleet/fleet_steps.ts";
import { createForwardingSimulation } from "./forwarding/create_forwarding_simulation.ts";
import { forwardingSteps } from "./forwarding/forwarding_steps.ts";
import { createLedgerSimulation } from "./ledger/create_ledger_simulation.ts";
import { ledgerSteps } from "./ledger/ledger_steps.ts";
import { createStepLibrary } from "./runner/create_step_library.ts";
import { registerScenarios } from "./runner/register_scenarios.ts";

registerScenarios(["cold_start.feature", "no_new_work.feature"], {
  library: createStepLibrary(admissionSteps),
  createContext: createAdmissionSimulation,
});
registerScenarios(["at_most_once.feature"], {
  library: createStepLibrary(ledgerSteps),
  createContext: createLedgerSimulation,
});
registerScenarios(["forwarded_call.feature"], {
  library: createStepLibrary(forwardingSteps),
  createContext: () => createForwardingSimulation(),
});
registerScenarios(["versions.feature", "convergence.feature"], {
  library: createStepLibrary(fleetSteps),
  createContext: createFleetSimulation,
});
