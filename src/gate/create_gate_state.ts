import type { GateState } from "./gate_state.ts";
import { ServerCondition } from "./server_condition.ts";

/** Assumed before the first answer; of the order of a usual request. */
const initialServiceMilliseconds = 100;

/** Creates the admission of a backend server of which nothing is known yet. */
export function createGateState(now: number): GateState {
  return {
    slots: 1,
    condition: ServerCondition.Unknown,
    closedFor: undefined,
    coldUntil: 0,
    coldCallsPerSecond: 1,
    coldBurstCalls: 1,
    coldTokens: 1,
    coldTokensAt: now,
    running: new Map(),
    queue: [],
    serviceMilliseconds: initialServiceMilliseconds,
    routeMilliseconds: new Map(),
  };
}
