import type { GateState } from "./gate_state.ts";

/** Returns how long a call of a route usually keeps its slot; routes of one service differ widely. */
export function getRouteServiceMilliseconds(
  state: GateState,
  route: string,
): number {
  return state.serviceMillisecondsByRoute.get(route) ??
    state.serviceMilliseconds;
}
