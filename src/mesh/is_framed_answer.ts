import type { IncomingMessage } from "node:http";

/**
 * Returns whether the head of an answer determines the end of its body.
 * Otherwise the body ends with the connection.
 */
export function isFramedAnswer(answer: IncomingMessage): boolean {
  return answer.headers["content-length"] !== undefined ||
    answer.headers["transfer-encoding"] !== undefined;
}
