import type { ColdAllowance } from "./cold_allowance.ts";
import type { GateState } from "./gate_state.ts";

/** Share of the allowed excess rate that is used; the rest covers calls that arrive closer together than they were sent. */
const usedExcessShare = 0.9;
/** Share of the slack that is added to the rate of each second. */
const rateSlackShare = 0.5;
/** Share of the slack that may be used as a burst. */
const burstSlackShare = 0.3;

/**
 * Sets the rate limit and burst size of a backend server in cold start. They
 * exceed its rate, but stay below the most that the allowance permits.
 */
export function setColdRate(
  state: GateState,
  options: {
    /** The rate that the backend server can process in cold start. */
    readonly callsPerSecond: number;
    readonly allowance: ColdAllowance;
  },
): void {
  const { callsPerSecond, allowance } = options;
  const excess = Math.max(0, allowance.factor - 1) * usedExcessShare;
  state.coldBucket.tokensPerSecond = callsPerSecond * (1 + excess) +
    allowance.slack * rateSlackShare;
  state.coldBucket.burstTokens = Math.max(1, allowance.slack * burstSlackShare);
}
