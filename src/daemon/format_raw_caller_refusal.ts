import { createProblemDocument } from "../calls/create_problem_document.ts";
import { ForwardedHeader } from "../calls/forwarded_header.ts";
import { getRetryAfterSeconds } from "../calls/get_retry_after_seconds.ts";
import type { Refusal } from "../calls/refusal.ts";
import { refusalTable } from "../calls/refusal_table.ts";
import { formatRawResponse } from "./format_raw_response.ts";

/** Returns the text of an HTTP/1.1 response that refuses a call to its caller; `now` is in milliseconds since the Unix epoch. */
export function formatRawCallerRefusal(
  refusal: Refusal,
  options: { readonly now: number },
): string {
  return formatRawResponse({
    status: refusalTable[refusal.reason].status,
    headers: [
      "content-type",
      "application/problem+json",
      "retry-after",
      String(getRetryAfterSeconds(refusal.retryAt, options.now)),
      ForwardedHeader.Outcome,
      refusal.outcome,
    ],
    body: createProblemDocument(refusal),
  });
}
