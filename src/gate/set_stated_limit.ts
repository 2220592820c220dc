import type { GateState } from "./gate_state.ts";
import { StatedLimitKind } from "./stated_limit_kind.ts";

/**
 * Lowest rate that is enforced, in calls a second: only the answer to a call can
 * lift the limit.
 */
const callsPerSecondMinimum = 0.5;
/** The burst, as the calls of this many seconds. */
const burstSeconds = 0.5;

/**
 * Limits the calls to the backend server to the rate that it states. Tokens that
 * are left stay; a new limit begins with none, since the backend server has just
 * received more than it takes.
 */
export function setStatedLimit(
  state: GateState,
  options: { readonly callsPerSecond: number; readonly now: number },
): void {
  const { callsPerSecond, now } = options;
  const previous = state.statedLimit;
  const bucket = previous.kind === StatedLimitKind.Limited
    ? previous.bucket
    : { tokensPerSecond: 0, burstTokens: 0, tokens: 0, refilledAt: now };
  bucket.tokensPerSecond = Math.max(callsPerSecondMinimum, callsPerSecond);
  bucket.burstTokens = Math.max(1, bucket.tokensPerSecond * burstSeconds);
  state.statedLimit = {
    kind: StatedLimitKind.Limited,
    callsPerSecond,
    statedAt: now,
    bucket,
  };
}
