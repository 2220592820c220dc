import type { ServerResponse } from "node:http";
import type { AnswerHead } from "../../calls/answer_head.ts";
import { getAnswerHeaders } from "./get_answer_headers.ts";

/** Writes the head of a streamed answer; `added` are further headers, as alternating names and values. */
export function writeAnswerHead(
  response: ServerResponse,
  head: AnswerHead,
  options: { readonly added: readonly string[] },
): void {
  response.writeHead(
    head.status,
    getAnswerHeaders(head, head.declaredLength, options.added),
  );
}
