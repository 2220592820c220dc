import { STATUS_CODES } from "node:http";
import type { Duplex } from "node:stream";
import { ForwardedHeader } from "../calls/forwarded_header.ts";
import { Outcome } from "../calls/outcome.ts";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { formatRawResponse } from "./format_raw_response.ts";

/** What is answered, by the code of the error. */
const answers: Readonly<
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
const invalidAnswer = {
  status: 400,
  reason: RefusalReason.RequestInvalid,
  detail: "The request is not valid HTTP/1.1",
};

/** Answers bytes that are not an HTTP request, or a header over a limit, and closes the connection. */
export function refuseBrokenRequest(
  error: NodeJS.ErrnoException,
  socket: Duplex,
): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const { status, reason, detail } = answers[error.code ?? ""] ??
    invalidAnswer;
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
