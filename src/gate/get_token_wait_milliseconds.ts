import type { TokenBucket } from "./token_bucket.ts";

const millisecondsPerSecond = 1_000;
/** Keeps the wait for a rate of zero finite. */
const tokensPerSecondMinimum = 0.1;

/**
 * Returns how long it takes after the last refill until the bucket holds
 * `tokens` tokens.
 */
export function getTokenWaitMilliseconds(
  bucket: TokenBucket,
  { tokens }: { readonly tokens: number },
): number {
  const missing = Math.max(0, tokens - bucket.tokens);
  return missing === 0 ? 0 : missing * millisecondsPerSecond /
    Math.max(tokensPerSecondMinimum, bucket.tokensPerSecond);
}
