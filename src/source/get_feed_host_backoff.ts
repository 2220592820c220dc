import { FeedEndKind } from "./feed_end_kind.ts";
import type { FeedHostBackoff } from "./feed_host_backoff.ts";

/** Shorter than after a lost connection: a neighbour that cannot serve its feed yet may do so soon. */
const refusedBackoffMilliseconds = 200;
const lostBackoffMilliseconds = 3_000;
const backoffMillisecondsMaximum = 24_000;

/** Returns the state of a host after another failure; its backoff doubles with each consecutive failure. */
export function getFeedHostBackoff(
  previous: FeedHostBackoff | undefined,
  options: { readonly kind: FeedEndKind; readonly now: number },
): FeedHostBackoff {
  const { kind, now } = options;
  const previousFailures = previous?.failures ?? 0;
  const baseMilliseconds = kind === FeedEndKind.Refused
    ? refusedBackoffMilliseconds
    : lostBackoffMilliseconds;
  const backoffMilliseconds = Math.min(
    backoffMillisecondsMaximum,
    baseMilliseconds * 2 ** previousFailures,
  );
  return {
    failures: previousFailures + 1,
    backoffUntil: now + backoffMilliseconds,
  };
}
