import type { AdmissionState } from "./admission_state.ts";
import type { AdmissionStep } from "./admission_step.ts";

/** Runs a phase on the state of a step and appends the phase's effects to those of the step. */
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
