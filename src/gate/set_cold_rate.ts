import type { ColdAllowance } from "./cold_allowance.ts";
import type { GateState } from "./gate_state.ts";

/** Part of the allowed excess that is used; the rest covers requests that bunch up on their way. */
const usedExcessShare = 0.9;
/** Parts of the slack that raise the rate of each second, and that may come at once. */
const steadySlackShare = 0.5;
const burstSlackShare = 0.3;

/** Sets how fast a backend server in cold start gets requests: above its rate, and below the most it is allowed. */
export function setColdRate(
  state: GateState,
  options: {
    readonly callsPerSecond: number;
    readonly allowance: ColdAllowance;
  },
): void {
  const { callsPerSecond, allowance } = options;
  const excess = Math.max(0, allowance.factor - 1) * usedExcessShare;
  state.coldCallsPerSecond = callsPerSecond * (1 + excess) +
    allowance.slack * steadySlackShare;
  state.coldBurstCalls = Math.max(1, allowance.slack * burstSlackShare);
}
