import type { Duplex } from "node:stream";
import { Outcome } from "../calls/outcome.ts";
import { RefusalReason } from "../calls/refusal_reason.ts";

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
  const status = tooLarge ? 431 : 400;
  const title = tooLarge ? "Request Header Fields Too Large" : "Bad Request";
  const body = JSON.stringify({
    type: "about:blank",
    title,
    status,
    detail: tooLarge
      ? "The request header is larger than the node accepts"
      : "The request is not valid HTTP/1.1",
    outcome: Outcome.NotRun,
    reason: tooLarge
      ? RefusalReason.RequestTooLarge
      : RefusalReason.RequestInvalid,
  });
  socket.end(
    [
      `HTTP/1.1 ${status} ${title}`,
      "Content-Type: application/problem+json",
      `Content-Length: ${Buffer.byteLength(body)}`,
      `Catkinquay-Outcome: ${Outcome.NotRun}`,
      "Connection: close",
      "",
      body,
    ].join("\r\n"),
  );
}
