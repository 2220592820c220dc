import { DispatchResult } from "../../admission/dispatch_result.ts";
import type { DispatchState } from "../dispatch_state.ts";
import type { DispatchStep } from "../dispatch_step.ts";
import { createReport } from "./create_report.ts";

/** Puts the report to the admission before the effects of a step. */
export function addReport(
  state: DispatchState,
  result: DispatchResult,
  step: DispatchStep,
): DispatchStep {
  return { ...step, effects: [createReport(state, result), ...step.effects] };
}
