import { refillTokenBucket } from "../gate/refill_token_bucket.ts";
import type { TokenBucket } from "../gate/token_bucket.ts";
import type { GranterState } from "./granter_state.ts";
import type { QuotaLimits } from "./quota_limits.ts";

/**
 * Applies changed limits from `now` on. Tokens that were collected at the former
 * rate are kept up to the new capacity.
 */
export function setQuotaLimits(
  state: GranterState,
  options: { readonly limits: QuotaLimits; readonly now: number },
): void {
  const { limits, now } = options;
  state.limits = limits;
  setBucketLimits(state.bucket, {
    tokensPerSecond: limits.callsPerSecond,
    burstTokens: limits.capacityCalls,
    now,
  });
  setBucketLimits(state.reducedBucket, {
    tokensPerSecond: limits.reducedCallsPerSecond,
    burstTokens: limits.reducedCapacityCalls,
    now,
  });
}

function setBucketLimits(
  bucket: TokenBucket,
  options: {
    readonly tokensPerSecond: number;
    readonly burstTokens: number;
    readonly now: number;
  },
): void {
  const { tokensPerSecond, burstTokens, now } = options;
  // The bucket of an owner that is not established yet has no time to fill.
  refillTokenBucket(bucket, Math.max(now, bucket.refilledAt));
  bucket.tokensPerSecond = tokensPerSecond;
  bucket.burstTokens = burstTokens;
  bucket.tokens = Math.min(bucket.tokens, burstTokens);
}
