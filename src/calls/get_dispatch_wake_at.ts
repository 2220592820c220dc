import { DispatchPhase } from "./dispatch_phase.ts";
import type { DispatchState } from "./dispatch_state.ts";

/** Returns the next instant at which the try needs a `Woke` event, in milliseconds since the Unix epoch. */
export function getDispatchWakeAt(state: DispatchState): number {
  return state.phase === DispatchPhase.Ended
    ? Infinity
    : Math.min(state.deadline, state.cancelAt, state.signAt);
}
