import type { AnswerHead } from "../../calls/answer_head.ts";

/** Returns the headers of an answer and, if defined, its `content-length`, as alternating names and values. */
export function getAnswerHeaders(
  head: AnswerHead,
  length: number | undefined,
  added: readonly string[],
): string[] {
  return length === undefined
    ? [...head.headers, ...added]
    : [...head.headers, ...added, "content-length", String(length)];
}
