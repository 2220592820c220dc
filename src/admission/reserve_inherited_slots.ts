import type { BackendServerProbe } from "../health/backend_server_probe.ts";
import type { AdmissionContext } from "./admission_context.ts";
import type { AdmissionState } from "./admission_state.ts";

/** Adds lingering slots for calls that an earlier incarnation of this node left running. */
export function reserveInheritedSlots(
  state: AdmissionState,
  options: {
    readonly probe: BackendServerProbe;
    readonly context: AdmissionContext;
  },
): AdmissionState {
  const { context, probe } = options;
  const slots = state.backendServer?.slots ?? 0;
  const inheritedCount = Math.min(slots, probe.running) -
    state.running.length - state.lingering.length;
  if (inheritedCount <= 0) return state;
  const slot = {
    since: context.now,
    wasFreeInLastProbe: false,
    until: context.now + context.policy.lingeringMilliseconds,
  };
  return {
    ...state,
    lingering: [
      ...state.lingering,
      ...Array.from({ length: inheritedCount }, () => slot),
    ],
  };
}
