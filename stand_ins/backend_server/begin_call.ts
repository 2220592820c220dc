import type { CapacityState } from "./capacity_state.ts";
import { getUsableSlots } from "./get_usable_slots.ts";
import { isCold } from "./is_cold.ts";

const overloadWindowMilliseconds = 1000;

/**
 * Admits or sheds one call. A call is shed if all usable slots are occupied. If
 * a cold backend server sheds as many such calls within a second as it has
 * slots, it collapses: it sheds every call for `fallMilliseconds` and is then
 * cold from the start again.
 */
export function beginCall(
  state: CapacityState,
  now: number,
): { readonly state: CapacityState; readonly admitted: boolean } {
  if (state.draining || now < state.shedsAllUntil) {
    return { state: { ...state, shed: state.shed + 1 }, admitted: false };
  }
  if (state.running < getUsableSlots(state)) {
    const running = state.running + 1;
    const peakRunning = Math.max(state.peakRunning, running);
    return { state: { ...state, running, peakRunning }, admitted: true };
  }
  const isInWindow =
    now < state.overloadWindowStartedAt + overloadWindowMilliseconds;
  const recentOverloads = isInWindow ? state.overloadsInWindow + 1 : 1;
  const collapses = isCold(state) && recentOverloads >= state.slots;
  return {
    admitted: false,
    state: {
      ...state,
      shed: state.shed + 1,
      overloadEvents: state.overloadEvents + 1,
      overloadsInWindow: collapses ? 0 : recentOverloads,
      overloadWindowStartedAt: isInWindow ? state.overloadWindowStartedAt : now,
      falls: state.falls + (collapses ? 1 : 0),
      shedsAllUntil: collapses
        ? now + state.fallMilliseconds
        : state.shedsAllUntil,
      answersSinceColdStart: collapses ? 0 : state.answersSinceColdStart,
    },
  };
}
