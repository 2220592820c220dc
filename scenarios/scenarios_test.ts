import { admissionSteps } from "./admission/admission_steps.ts";
import { createAdmissionWorld } from "./admission/create_admission_simulation.ts";
import { createFleetWorld } from "./fleet/create_fleet_simulation.ts";
import { fleetSteps } from "./fleet/fleet_steps.ts";
import { createHandoverWorld } from "./forwarding/create_forwarding_simulation.ts";
import { handoverSteps } from "./forwarding/forwarding_steps.ts";
import { createLedgerWorld } from "./ledger/create_ledger_simulation.ts";
import { ledgerSteps } from "./ledger/ledger_steps.ts";
import { createStepLibrary } from "./runner/create_step_library.ts";
import { registerScenarios } from "./runner/register_scenarios.ts";

registerScenarios(["cold_start.feature", "no_new_work.feature"], {
  library: createStepLibrary(admissionSteps),
  createWorld: createAdmissionWorld,
});
registerScenarios(["at_most_once.feature"], {
  library: createStepLibrary(ledgerSteps),
  createWorld: createLedgerWorld,
});
registerScenarios(["forwarded_call.feature"], {
  library: createStepLibrary(handoverSteps),
  createWorld: () => createHandoverWorld(),
});
registerScenarios(["versions.feature", "convergence.feature"], {
  library: createStepLibrary(fleetSteps),
  createWorld: createFleetWorld,
});
