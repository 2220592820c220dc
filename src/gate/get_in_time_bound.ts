import type { GateState } from "./gate_state.ts";

/** Work times scatter: with just the mean left, about half of the calls would end late. */
const serviceTimesLeft = 1.5;

/** Returns the earliest goal, as an instant, that a call which starts now will probably meet. */
export function getInTimeBound(state: GateState, now: number): number {
  return now + state.serviceMilliseconds * serviceTimesLeft;
}
