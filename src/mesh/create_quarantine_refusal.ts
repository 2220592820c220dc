import { Outcome } from "../calls/outcome.ts";
import { RefusalReason } from "../calls/refusal_reason.ts";
import type { CallProgress } from "./call_progress.ts";
import type { CallResult } from "./call_result.ts";
import { CallResultKind } from "./call_result_kind.ts";

/** Creates the refusal of a call whose request is quarantined. */
export function createQuarantineRefusal(
  progress: CallProgress,
  { retryMilliseconds }: { readonly retryMilliseconds: number },
): CallResult {
  return progress.fallback ?? {
    kind: CallResultKind.Refused,
    reason: RefusalReason.RequestQuarantined,
    outcome: progress.mayHaveRun ? Outcome.Unknown : Outcome.NotRun,
    retryMilliseconds,
  };
}
