import type { BackendServerSettings } from "./backend_server_settings.ts";
import type { CapacityState } from "./capacity_state.ts";

/** Returns the capacity state of a backend server that has just started. */
export function createCapacityState(
  settings: BackendServerSettings,
): CapacityState {
  return {
    slots: settings.slots,
    coldSlots: settings.coldSlots,
    warmUpAnswers: settings.warmUpAnswers,
    fallMilliseconds: settings.fallMilliseconds,
    running: 0,
    answersSinceColdStart: settings.startsCold ? 0 : settings.warmUpAnswers,
    shedsAllUntil: 0,
    overloadsInWindow: 0,
    overloadWindowStartedAt: 0,
    draining: false,
    overloadEvents: 0,
    falls: 0,
    peakRunning: 0,
    shed: 0,
  };
}
