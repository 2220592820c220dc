import type { ServerResponse } from "node:http";
import { createProblemDocument } from "../calls/create_problem_document.ts";
import { refusalTable } from "../calls/refusal_table.ts";
import type { AnswerBody } from "./answer_body.ts";
import { breakOffResponse } from "./break_off_response.ts";
import type { CallResult } from "./call_result.ts";
import { CallResultKind } from "./call_result_kind.ts";
import { getRefusalStatus } from "./get_refusal_status.ts";

const unauthorizedStatus = 401;
const millisecondsPerSecond = 1_000;

/**
 * Writes the response to a caller. With `closing`, the connection ends after
 * it.
 */
export function writeCallResult(
  response: ServerResponse,
  result: CallResult,
  options: { readonly closing: boolean; readonly now: number },
): void {
  const closeHeaders = options.closing ? ["connection", "close"] : [];
  if (result.kind === CallResultKind.Answered) {
    const headers = [...result.headers, ...closeHeaders];
    writeBody(response, result.body, { status: result.status, headers });
    return;
  }
  const seconds = result.retryMilliseconds / millisecondsPerSecond;
  const document = createProblemDocument({
    reason: result.reason,
    outcome: result.outcome,
    retryAt: Math.round(options.now + result.retryMilliseconds),
    detail: refusalTable[result.reason].detail,
  });
  const status = getRefusalStatus(result.reason, result.outcome);
  response.writeHead(status, [
    "content-type",
    "application/problem+json",
    "content-length",
    String(Buffer.byteLength(document)),
    "retry-after",
    seconds.toFixed(3),
    ...(status === unauthorizedStatus ? ["www-authenticate", "Bearer"] : []),
    ...closeHeaders,
  ]).end(document);
}

function writeBody(
  response: ServerResponse,
  body: AnswerBody,
  options: { readonly status: number; readonly headers: readonly string[] },
): void {
  const { held, rest, framed } = body;
  // A complete answer that the backend server sent without a length keeps that
  // form, since it may have been broken off by the backend server. One that is
  // passed on as it arrives is sent in chunks: the end of this process would
  // otherwise look like its regular end.
  if (!framed && rest === undefined) {
    response.useChunkedEncodingByDefault = false;
  }
  response.writeHead(options.status, [
    ...options.headers,
    ...getFramingHeaders(body),
  ]);
  if (rest === undefined) {
    response.end(held);
    return;
  }
  response.write(held);
  // An answer that breaks off must not look complete.
  rest.once("error", () => breakOffResponse(response));
  rest.pipe(response);
}

function getFramingHeaders(
  { held, rest, framed }: AnswerBody,
): readonly string[] {
  if (!framed) return ["connection", "close"];
  return rest === undefined ? ["content-length", String(held.byteLength)] : [];
}
