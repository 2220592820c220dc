import { STATUS_CODES } from "node:http";
import type { Duplex } from "node:stream";
import { ForwardedHeader } from "../calls/forwarded_header.ts";
import { Outcome } from "../calls/outcome.ts";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { formatRawResponse } from "./format_raw_response.ts";

/** The response to each error code. */
const responses: Readonly<
  Record<string, {
    readonly status: number;
    readonly reason: RefusalReason;
    readonly detail: string;
  }>
> = {
  HPE_HEADER_OVERFLOW: {
    status: 431,
    reason: RefusalReason.HeaderTooLarge,
    detail: "The request header is larger than the node accepts",
  },
  ERR_HTTP_REQUEST_TIMEOUT: {
    status: 408,
    reason: RefusalReason.RequestInvalid,
    detail: "The request header did not arrive in time",
  },
};
const invalidResponse = {
  status: 400,
  reason: RefusalReason.RequestInvalid,
  detail: "The request is not valid HTTP/1.1",
};

/** Time in which the sender may read the refusal and close the connection. */
const closeTimeoutMilliseconds = 1_000;

/**
 * Refuses a request that is not valid HTTP, or whose header is too large or
 * late, and closes the connection. It is called again for further input, which
 * is read and dropped, because unread input would discard the refusal.
 */
export function refuseInvalidRequest(
  error: NodeJS.ErrnoException,
  socket: Duplex,
): void {
  if (!socket.writable) {
    if (!socket.writableEnded) socket.destroy();
    return;
  }
  const { status, reason, detail } = responses[error.code ?? ""] ??
    invalidResponse;
  const timeout = setTimeout(() => socket.destroy(), closeTimeoutMilliseconds);
  socket.once("close", () => clearTimeout(timeout));
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
      detail,
      outcome: Outcome.NotRun,
      reason,
    }),
  }));
}
