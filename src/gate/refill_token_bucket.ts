import type { TokenBucket } from "./token_bucket.ts";

const millisecondsPerSecond = 1_000;

/** Adds the tokens of the time since the last refill, up to the burst. */
export function refillTokenBucket(bucket: TokenBucket, now: number): void {
  const elapsed = Math.max(0, now - bucket.refilledAt);
  bucket.tokens = Math.min(
    bucket.burstTokens,
    bucket.tokens + elapsed * bucket.tokensPerSecond / millisecondsPerSecond,
  );
  bucket.refilledAt = now;
}
