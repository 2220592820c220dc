import type { GateState } from "./gate_state.ts";

/** Returns how long a call of a route usually holds its slot; routes of one service differ widely. */
export function getWorkMilliseconds(state: GateState, route: string): number {
  return state.routeMilliseconds.get(route) ?? state.serviceMilliseconds;
}
