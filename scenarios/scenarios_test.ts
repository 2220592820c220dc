import test from "ava";
import { admissionSteps } from "./admission/admission_steps.ts";
import { createAdmissionWorld } from "./admission/create_admission_world.ts";
import { createStepLibrary } from "./runner/create_step_library.ts";
import { readScenarios } from "./runner/read_scenarios.ts";
import { runScenario } from "./runner/run_scenario.ts";

const folder = "scenarios";
const library = createStepLibrary(admissionSteps);

readScenarios(folder).forEach((scenario) =>
  test(
    scenario.name,
    (assert) =>
      runScenario(scenario, { world: createAdmissionWorld(), library, assert }),
  )
);
