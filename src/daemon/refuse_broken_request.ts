import { STATUS_CODES } from "node:http";
import type { Duplex } from "node:stream";
import { ForwardedHeader } from "../calls/forwarded_header.ts";
import { Outcome } from "../calls/outcome.ts";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { formatRawResponse } from "./format_raw_response.ts";

const badRequestStatus = 400;
const headerTooLargeStatus = 431;
const headerOverflowCode = "HPE_HEADER_OVERFLOW";

/** Answers bytes that are not an HTTP request, or a header over the limit, and closes the connection. */
export function refuseBrokenRequest(
  error: NodeJS.ErrnoException,
  socket: Duplex,
): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const tooLarge = error.code === headerOverflowCode;
  const status = tooLarge ? headerTooLargeStatus : badRequestStatus;
  socket.end(formatRawResponse({
    status,
    headers: [
      "content-type",
      "application/problem+json",
      ForwardedHeader.Outcome,
      Outcome.NotRun,
    ],
    body: JSON.stringify({
      type: "about:blank",
      title: STATUS_CODES[status],
      status,
      detail: tooLarge
        ? "The request header is larger than the node accepts"
        : "The request is not valid HTTP/1.1",
      outcome: Outcome.NotRun,
      reason: tooLarge
        ? RefusalReason.RequestTooLarge
        : RefusalReason.RequestInvalid,
    }),
  }));
}
