import { CallEnding } from "../../stand_ins/caller/call_ending.ts";
import type { CallerBucket } from "../../stand_ins/caller/caller_bucket.ts";
import { summarizeSamples } from "../summarize_samples.ts";
import type { ServiceShare } from "./service_share.ts";

/** Sums up some seconds of some services. */
export function computeServiceShare(
  buckets: readonly CallerBucket[],
): ServiceShare {
  const count = (...endings: readonly CallEnding[]) =>
    buckets.reduce(
      (sum, bucket) =>
        sum +
        endings.reduce(
          (part, ending) => part + (bucket.endings[ending] ?? 0),
          0,
        ),
      0,
    );
  const sent = buckets.reduce((sum, bucket) => sum + bucket.sent, 0);
  const abandoned = count(CallEnding.Abandoned);
  const stayed = Math.max(1, sent - abandoned);
  const medians = buckets.flatMap((bucket) => bucket.medianMilliseconds ?? []);
  const percentiles = buckets.flatMap((bucket) =>
    bucket.percentile99Milliseconds ?? []
  );
  return {
    sent,
    abandoned,
    whole: count(CallEnding.Whole) / stayed,
    notRun: count(CallEnding.NotRun) / stayed,
    unknown: count(CallEnding.Unknown) / stayed,
    broken: count(CallEnding.Wrong, CallEnding.Cut, CallEnding.Unreachable) /
      stayed,
    medianMilliseconds: summarizeSamples(medians).median,
    worstPercentile99Milliseconds: Math.max(0, ...percentiles),
  };
}
