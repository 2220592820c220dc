import type { AdmissionContext } from "./admission_context.ts";
import { AdmissionEffectKind } from "./admission_effect_kind.ts";
import type { AdmissionState } from "./admission_state.ts";
import type { AdmissionStep } from "./admission_step.ts";
import { getNextProbeInstant } from "./get_next_probe_instant.ts";

/** Requests a probe if one is due. */
export function sendDueProbe(
  state: AdmissionState,
  context: AdmissionContext,
): AdmissionStep {
  const { now, policy } = context;
  if (now < getNextProbeInstant(state, context)) return { state, effects: [] };
  return {
    state: {
      ...state,
      probing: {
        ...state.probing,
        isInFlight: true,
        sentAt: now,
        minimumRunning: state.running.length,
        nextAt: now + policy.probeIntervalMilliseconds,
      },
    },
    effects: [{
      kind: AdmissionEffectKind.Probe,
      deadline: now + policy.probeTimeoutMilliseconds,
    }],
  };
}
