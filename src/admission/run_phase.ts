import type { AdmissionState } from "./admission_state.ts";
import type { AdmissionStep } from "./admission_step.ts";

/** Runs the next phase on the state that a step has reached, and joins the effects. */
export function runPhase(
  step: AdmissionStep,
  phase: (state: AdmissionState) => AdmissionStep,
): AdmissionStep {
  const next = phase(step.state);
  return {
    state: next.state,
    effects: [...step.effects, ...next.effects],
  };
}
