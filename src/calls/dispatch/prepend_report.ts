import { DispatchResult } from "../../admission/dispatch_result.ts";
import type { DispatchState } from "../dispatch_state.ts";
import type { DispatchStep } from "../dispatch_step.ts";
import { createReport } from "./create_report.ts";

/** Prepends the report to the admission to the effects of a step. */
export function prependReport(
  state: DispatchState,
  result: DispatchResult,
  step: DispatchStep,
): DispatchStep {
  return { ...step, effects: [createReport(state, result), ...step.effects] };
}
