import type { CapacityState } from "./capacity_state.ts";
import { getBearableSlots } from "./get_bearable_slots.ts";
import { isCold } from "./is_cold.ts";

const overloadWindowMilliseconds = 1000;

/**
 * Takes or sheds one call. A call beyond what the backend server can bear is
 * shed; as many of them within a second as it has slots make a cold one fall
 * over: it then sheds everything for a while and starts cold again.
 */
export function beginCall(
  state: CapacityState,
  now: number,
): { readonly state: CapacityState; readonly taken: boolean } {
  if (state.draining || now < state.fallenUntil) {
    return { state: { ...state, shed: state.shed + 1 }, taken: false };
  }
  if (state.running < getBearableSlots(state)) {
    const running = state.running + 1;
    const peakRunning = Math.max(state.peakRunning, running);
    return { state: { ...state, running, peakRunning }, taken: true };
  }
  const continues = now < state.overloadsSince + overloadWindowMilliseconds;
  const recentOverloads = continues ? state.recentOverloads + 1 : 1;
  const falls = isCold(state) && recentOverloads >= state.slots;
  return {
    taken: false,
    state: {
      ...state,
      shed: state.shed + 1,
      overloadEvents: state.overloadEvents + 1,
      recentOverloads: falls ? 0 : recentOverloads,
      overloadsSince: continues ? state.overloadsSince : now,
      falls: state.falls + (falls ? 1 : 0),
      fallenUntil: falls ? now + state.fallMilliseconds : state.fallenUntil,
      answersSinceColdStart: falls ? 0 : state.answersSinceColdStart,
    },
  };
}
