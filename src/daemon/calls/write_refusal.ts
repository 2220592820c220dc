import type { ServerResponse } from "node:http";
import { createProblemDocument } from "../../calls/create_problem_document.ts";
import { ForwardedHeader } from "../../calls/forwarded_header.ts";
import { getRetryAfterSeconds } from "../../calls/get_retry_after_seconds.ts";
import type { Refusal } from "../../calls/refusal.ts";
import { RefusalReason } from "../../calls/refusal_reason.ts";
import { refusalTable } from "../../calls/refusal_table.ts";

/** Sends a refusal to a caller as a problem document; `now` is in milliseconds since the Unix epoch. */
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
  // Keeping the connection open would require receiving and discarding the rest of the body.
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
