import type { IncomingMessage } from "node:http";

/**
 * Whether an answer has arrived completely. The parser completes an answer without
 * a length at any end of its connection, so one that was destroyed with an error
 * is not whole.
 */
export function isWholeAnswer(
  answer: Pick<IncomingMessage, "complete" | "errored">,
): boolean {
  return answer.complete && answer.errored === null;
}
