import { getTokenWaitMilliseconds } from "../gate/get_token_wait_milliseconds.ts";
import { refillTokenBucket } from "../gate/refill_token_bucket.ts";
import type { TokenBucket } from "../gate/token_bucket.ts";
import type { GranterState } from "./granter_state.ts";
import { QuotaRole } from "./quota_role.ts";
import type { TokenGrant } from "./token_grant.ts";
import type { TokenRequest } from "./token_request.ts";

/** Tokens are granted ahead of calls only from the part of the bucket above this share. */
const reservedShare = 0.5;
/** Time for which a refused node counts among those that wait. */
const refusedHostMilliseconds = 1_000;
/** The longest time for which a node refuses calls without another request. */
const retryMillisecondsMaximum = 1_000;
const millisecondsPerSecond = 1_000;

/**
 * Grants tokens to the node on `host`: to each of its waiting calls while there
 * are any, and ahead of calls while the bucket is well filled. Tokens ahead may
 * expire unused, which must not cost other calls.
 */
export function grantTokens(
  state: GranterState,
  request: TokenRequest,
  options: {
    readonly role: QuotaRole;
    readonly host: string;
    readonly now: number;
  },
): TokenGrant {
  const { role, host, now } = options;
  if (role === QuotaRole.None) return { role, tokens: 0, retryMilliseconds: 0 };
  const bucket = role === QuotaRole.Owner ? state.bucket : state.reducedBucket;
  refillTokenBucket(bucket, now);
  const { forWaiting, ahead } = takeTokens(bucket, request);
  const tokens = forWaiting + ahead;
  if (forWaiting === request.waitingCalls) {
    state.refusedHosts.delete(host);
    return { role, tokens, retryMilliseconds: 0 };
  }
  deleteFormerlyRefused(state, now);
  state.refusedHosts.set(host, now);
  const retryMilliseconds = getRetryMilliseconds(bucket, {
    refusedCount: state.refusedHosts.size,
  });
  return { role, tokens, retryMilliseconds };
}

function takeTokens(
  bucket: TokenBucket,
  { waitingCalls, expectedCalls }: TokenRequest,
): { readonly forWaiting: number; readonly ahead: number } {
  const forWaiting = Math.min(waitingCalls, Math.floor(bucket.tokens));
  bucket.tokens -= forWaiting;
  const reserved = bucket.burstTokens * reservedShare;
  const ahead = Math.min(
    expectedCalls,
    Math.floor(Math.max(0, bucket.tokens - reserved)),
  );
  bucket.tokens -= ahead;
  return { forWaiting, ahead };
}

/** Returns the wait of the last of the refused nodes, which get a token each in turn. */
function getRetryMilliseconds(
  bucket: TokenBucket,
  { refusedCount }: { readonly refusedCount: number },
): number {
  const wait = getTokenWaitMilliseconds(bucket, { tokens: 1 }) +
    (refusedCount - 1) * millisecondsPerSecond /
      Math.max(1, bucket.tokensPerSecond);
  return Math.min(retryMillisecondsMaximum, wait);
}

function deleteFormerlyRefused({ refusedHosts }: GranterState, now: number) {
  Array.from(refusedHosts)
    .filter(([, refusedAt]) => refusedAt + refusedHostMilliseconds < now)
    .forEach(([host]) => refusedHosts.delete(host));
}
