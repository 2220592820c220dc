import type { IncomingMessage } from "node:http";

/** Whether the head of an answer tells how its body ends; otherwise it ends with the connection. */
export function isFramedAnswer(answer: IncomingMessage): boolean {
  return answer.headers["content-length"] !== undefined ||
    answer.headers["transfer-encoding"] !== undefined;
}
