import type { ServerResponse } from "node:http";
import { createProblemDocument } from "../../calls/create_problem_document.ts";
import { ForwardedHeader } from "../../calls/forwarded_header.ts";
import { getRetryAfterSeconds } from "../../calls/get_retry_after_seconds.ts";
import type { Refusal } from "../../calls/refusal.ts";
import { RefusalReason } from "../../calls/refusal_reason.ts";
import { refusalTable } from "../../calls/refusal_table.ts";

/** Answers a caller with a problem document. */
export function writeRefusal(
  response: ServerResponse,
  refusal: Refusal,
  options: { readonly now: number; readonly close: boolean },
): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  const body = Buffer.from(createProblemDocument(refusal));
  // The rest of a body that was not read would have to be received in vain.
  const close = options.close ||
    refusal.reason === RefusalReason.RequestTooLarge;
  response.writeHead(refusalTable[refusal.reason].status, [
    "content-type",
    "application/problem+json",
    "content-length",
    String(body.byteLength),
    "retry-after",
    String(getRetryAfterSeconds(refusal.retryAt, options.now)),
    ForwardedHeader.Outcome,
    refusal.outcome,
    ...(close ? ["connection", "close"] : []),
  ]);
  response.end(body);
}
