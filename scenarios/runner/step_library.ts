import type { ExecutionContext } from "ava";
import type { ScenarioStep } from "./scenario_step.ts";

/** The step definitions of a group of scenarios. */
export interface StepLibrary<Context> {
  /** Returns a function that runs the first definition that matches the step; undefined if none matches. */
  find(
    step: ScenarioStep,
  ):
    | ((context: Context, assert: ExecutionContext) => void | Promise<void>)
    | undefined;
}
