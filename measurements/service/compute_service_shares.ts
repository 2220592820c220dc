import { CallEnding } from "../../stand_ins/caller/call_ending.ts";
import type { CallerBucket } from "../../stand_ins/caller/caller_bucket.ts";
import { summarizeSamples } from "../summarize_samples.ts";
import type { ServiceShares } from "./service_shares.ts";

/** Aggregates per-second counts of calls into shares and latencies. */
export function computeServiceShares(
  buckets: readonly CallerBucket[],
): ServiceShares {
  const count = (...endings: readonly CallEnding[]) =>
    buckets.reduce(
      (sum, bucket) =>
        sum +
        endings.reduce(
          (subtotal, ending) => subtotal + (bucket.endings[ending] ?? 0),
          0,
        ),
      0,
    );
  const sent = buckets.reduce((sum, bucket) => sum + bucket.sent, 0);
  const abandoned = count(CallEnding.Abandoned);
  const notAbandoned = Math.max(1, sent - abandoned);
  const medians = buckets.flatMap((bucket) => bucket.medianMilliseconds ?? []);
  const percentiles = buckets.flatMap((bucket) =>
    bucket.percentile99Milliseconds ?? []
  );
  return {
    sent,
    abandoned,
    whole: count(CallEnding.Complete) / notAbandoned,
    notRun: count(CallEnding.NotRun) / notAbandoned,
    unknown: count(CallEnding.Unknown) / notAbandoned,
    broken: count(CallEnding.Wrong, CallEnding.Cut, CallEnding.Unreachable) /
      notAbandoned,
    medianMilliseconds: summarizeSamples(medians).median,
    worstPercentile99Milliseconds: Math.max(0, ...percentiles),
  };
}
