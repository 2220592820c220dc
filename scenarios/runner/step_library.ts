import type { ExecutionContext } from "ava";
import type { ScenarioStep } from "./scenario_step.ts";

/** Finds and runs the one definition that fits a step. */
export interface StepLibrary<Context> {
  /** Undefined where no definition fits. */
  find(
    step: ScenarioStep,
  ):
    | ((context: Context, assert: ExecutionContext) => void | Promise<void>)
    | undefined;
}
