import { DispatchPhase } from "./dispatch_phase.ts";
import type { DispatchState } from "./dispatch_state.ts";

/**
 * Returns when the attempt's timer has to fire next, in milliseconds since the
 * Unix epoch; `Infinity` after its end.
 */
export function getDispatchWakeAt(state: DispatchState): number {
  return state.phase === DispatchPhase.Ended
    ? Infinity
    : Math.min(state.deadline, state.cancelAt, state.interimResponseAt);
}
