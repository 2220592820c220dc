import type { ServerResponse } from "node:http";
import type { StoredAnswer } from "../../calls/stored_answer.ts";
import { getAnswerHeaders } from "./get_answer_headers.ts";
import { isBodyExpected } from "./is_body_expected.ts";

/** Writes a complete answer; `added` are further headers, as alternating names and values. */
export function writeAnswer(
  response: ServerResponse,
  answer: StoredAnswer,
  options: { readonly method: string; readonly added: readonly string[] },
): void {
  const { head, body } = answer;
  const hasBody = isBodyExpected(options.method, head.status);
  const length = hasBody ? body.byteLength : head.declaredLength;
  response.writeHead(
    head.status,
    getAnswerHeaders(head, length, options.added),
  );
  response.end(hasBody && body.byteLength > 0 ? body : undefined);
}
