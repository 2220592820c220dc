import type { GateState } from "./gate_state.ts";

/** Whether the backend server is in cold start. */
export function isCold(state: GateState, now: number): boolean {
  return state.coldUntil > now;
}
